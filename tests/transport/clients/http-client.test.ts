import assert from "node:assert/strict";
import { createServer, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import { describe, test } from "node:test";
import { Worker } from "node:worker_threads";
import { CallError } from "../../../src/coordination/ports/call-error.js";
import { HttpClient } from "../../../src/transport/clients/http-client.js";

/** Runs a test with the client of a server that has the request listener. */
async function withServer(listener: RequestListener, run: (client: HttpClient) => Promise<void>) {
	const server = createServer(listener);
	await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
	const client = new HttpClient(`127.0.0.1:${(server.address() as AddressInfo).port}`, 2);
	try {
		await run(client);
	} finally {
		client.close();
		server.closeAllConnections();
		await new Promise((resolve) => server.close(resolve));
	}
}

describe("a call over HTTP", () => {
	test("resolves to the response with any status", async () => {
		await withServer(
			(request, response) => {
				request.setEncoding("utf8");
				let body = "";
				request.on("data", (part) => {
					body += part;
				});
				request.on("end", () => {
					response.writeHead(request.url === "/empty" ? 404 : 200);
					response.end(request.url === "/empty" ? "" : JSON.stringify([request.method, body]));
				});
			},
			async (client) => {
				const response = await client.call("POST", "/echo", { a: 1 }, 5000);
				assert.deepEqual(response, { status: 200, body: ["POST", '{"a":1}'] });
				assert.deepEqual(await client.call("GET", "/empty", undefined, 5000), { status: 404, body: null });
			},
		);
	});

	test("without a response in time has an unknown outcome", async () => {
		await withServer(
			(request, response) => {
				if (request.url === "/connect") response.end();
			},
			async (client) => {
				// Establishes the connection, which is then reused: on a busy machine a new connection may take
				// longer than the timeout.
				await client.call("GET", "/connect", undefined, 5000);
				await assert.rejects(client.call("GET", "/never", undefined, 50), {
					outcome: "unknown",
					message: "GET /never: no response in time",
				});
			},
		);
	});

	test("whose response is not JSON or is truncated has an unknown outcome", async () => {
		await withServer(
			(request, response) => {
				if (request.url === "/text") response.end("not JSON");
				else {
					response.writeHead(200, { "content-length": 100 });
					response.write("{");
					setTimeout(() => response.destroy(), 20);
				}
			},
			async (client) => {
				await assert.rejects(client.call("GET", "/text", undefined, 5000), {
					outcome: "unknown",
					status: 200,
					message: "GET /text: the response is not JSON",
				});
				await assert.rejects(client.call("GET", "/cut", undefined, 5000), {
					outcome: "unknown",
					status: 0,
					message: "GET /cut: connection closed within the response",
				});
			},
		);
	});

	test("to an address without a listener was not executed, and its error contains the cause", async () => {
		const client = new HttpClient("127.0.0.1:1", 2);
		await assert.rejects(client.call("GET", "/", undefined, 5000), (error) => {
			assert.ok(error instanceof CallError);
			assert.equal(error.outcome, "not executed");
			assert.equal((error.cause as NodeJS.ErrnoException).code, "ECONNREFUSED");
			return true;
		});
		client.close();
	});

	test("that is pending when the client is closed rejects, both after it was sent and while it waits for a connection", async () => {
		await withServer(
			() => undefined,
			async (client) => {
				// The client allows two connections, so the third call waits for one of them.
				const calls = [1, 2, 3].map((i) => client.call("GET", `/${i}`, undefined, 60_000));
				const settled = Promise.allSettled(calls);
				await new Promise((resolve) => setTimeout(resolve, 50));
				client.close();
				const outcomes = (await settled).map((result) => {
					assert.ok(result.status === "rejected" && result.reason instanceof CallError);
					assert.match(result.reason.message, /the client was closed$/);
					return result.reason.outcome;
				});
				assert.deepEqual(outcomes, ["unknown", "unknown", "not executed"]);
			},
		);
	});
});

describe("the deadline of a call", () => {
	test("is extended for a response that arrived during a process pause", async () => {
		const source = `
			const { parentPort } = require("node:worker_threads");
			const server = require("node:http").createServer((request, response) => {
				if (request.url === "/never") return;
				setTimeout(() => response.end("{}"), 300);
			});
			server.listen(0, "127.0.0.1", () => parentPort.postMessage(server.address().port));`;
		const worker = new Worker(source, { eval: true });
		const port = await new Promise<number>((resolve) => worker.once("message", resolve));
		const client = new HttpClient(`127.0.0.1:${port}`, 2);
		const pauseProcess = (ms: number) => Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
		try {
			await client.call("GET", "/", undefined, 5000);
			const answered = client.call("GET", "/", undefined, 1500);
			const unanswered = client.call("GET", "/never", undefined, 1500);
			const failed = assert.rejects(unanswered, { outcome: "unknown" });
			// Lets the requests be sent before the process pause, during which both deadlines pass.
			await new Promise((resolve) => setTimeout(resolve, 30));
			// Timers run after an immediate and before the next poll of sockets.
			await new Promise((resolve) => setImmediate(resolve));
			pauseProcess(2500);
			assert.equal((await answered).status, 200);
			await failed;
		} finally {
			client.close();
			await worker.terminate();
		}
	});
});
