/** Small HTTP helpers of the stand-ins. All addresses are on loopback. */

import http from "node:http";

/** Starts an HTTP server on a free loopback port; `handle(method, url, body)` returns [status, body]. */
export function startServer(handle) {
	const server = http.createServer((request, response) => {
		const chunks = [];
		request.on("data", (chunk) => chunks.push(chunk));
		request.on("error", () => {});
		request.on("end", async () => {
			const text = Buffer.concat(chunks).toString("utf8");
			const url = new URL(request.url, "http://loopback");
			const [status, body] = await handle(request.method, url, text);
			if (response.destroyed) return;
			const payload = typeof body === "string" ? body : JSON.stringify(body);
			response.writeHead(status, {
				"content-type": "application/json",
				"content-length": Buffer.byteLength(payload),
			});
			response.end(payload);
		});
	});
	server.keepAliveTimeout = 120_000;
	server.on("clientError", (_error, socket) => socket.destroy());
	return new Promise((resolve) => server.listen(0, "127.0.0.1", () => resolve(server)));
}

export function closeServer(server) {
	server.closeAllConnections();
	server.close();
}

/** Sends one request. Resolves to { status, text, json }; status 0: no response (refused, reset or timed out). */
export function call(address, method, path, body, { timeoutMs = 5000, agent } = {}) {
	const [host, port] = address.split(":");
	const payload = body === undefined ? undefined : typeof body === "string" ? body : JSON.stringify(body);
	const headers = payload === undefined ? {} : { "content-type": "application/json", "content-length": Buffer.byteLength(payload) };
	return new Promise((resolve) => {
		let settled = false;
		const settle = (result) => {
			if (settled) return;
			settled = true;
			clearTimeout(timer);
			resolve(result);
		};
		const request = http.request({ host, port, method, path, headers, agent }, (response) => {
			const chunks = [];
			response.on("data", (chunk) => chunks.push(chunk));
			response.on("error", () => settle({ status: 0, text: "reset", json: null }));
			response.on("end", () => {
				const text = Buffer.concat(chunks).toString("utf8");
				let json = null;
				try {
					json = text === "" ? null : JSON.parse(text);
				} catch {}
				settle({ status: response.statusCode, text, json });
			});
		});
		const timer = setTimeout(() => {
			settle({ status: 0, text: "timeout", json: null });
			request.destroy();
		}, timeoutMs);
		request.on("error", (error) => settle({ status: 0, text: String(error.code), json: null }));
		request.end(payload);
	});
}

/** Returns that many free loopback ports. */
export async function freePorts(count) {
	const servers = [];
	for (let i = 0; i < count; i++) servers.push(await startServer(() => [200, {}]));
	const ports = servers.map((server) => server.address().port);
	await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
	return ports;
}

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
export const now = () => performance.now();
