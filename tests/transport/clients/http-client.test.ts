import assert from "node:assert/strict";
import { test } from "node:test";
import { Worker } from "node:worker_threads";
import { HttpClient } from "../../../src/transport/clients/http-client.js";

test("an answer that came while the process stood still counts, though its deadline has passed", async () => {
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
	const standStill = (ms: number) => Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
	try {
		await client.call("GET", "/", undefined, 5000);
		const answer = client.call("GET", "/", undefined, 1500);
		const none = client.call("GET", "/never", undefined, 1500);
		const failed = assert.rejects(none, { outcome: "unknown" });
		// The requests leave before the process stands still, and both deadlines pass meanwhile.
		await new Promise((resolve) => setTimeout(resolve, 30));
		// Between an immediate and the next look at sockets timers come first.
		await new Promise((resolve) => setImmediate(resolve));
		standStill(2500);
		assert.equal((await answer).status, 200);
		await failed;
	} finally {
		client.close();
		await worker.terminate();
	}
});
