// HTTP helpers of the stand-ins. All addresses are loopback addresses.
import { createServer, request } from "node:http";
import { createServer as createTcpServer } from "node:net";

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Returns free loopback ports, all different. */
export async function freePorts(count) {
	const servers = [];
	for (let i = 0; i < count; i++) {
		const server = createTcpServer();
		await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
		servers.push(server);
	}
	const ports = servers.map((server) => server.address().port);
	await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
	return ports;
}

/** Starts a JSON server. The handler gets (method, url, body, reply), and calls reply(status, body). */
export async function jsonServer(handler, port = 0) {
	const server = createServer((req, res) => {
		const chunks = [];
		req.on("error", () => {});
		req.on("data", (chunk) => chunks.push(chunk));
		req.on("end", () => {
			const text = Buffer.concat(chunks).toString("utf8");
			let body;
			try {
				body = text === "" ? undefined : JSON.parse(text);
			} catch {
				body = undefined;
			}
			const reply = (status, value) => {
				if (res.headersSent || res.destroyed) return;
				const out = JSON.stringify(value ?? {});
				res.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(out) });
				res.end(out);
			};
			handler(req.method, req.url, body, reply, req);
		});
	});
	server.keepAliveTimeout = 120_000;
	server.on("clientError", (_error, socket) => socket.destroy());
	await new Promise((resolve) => server.listen(port, "127.0.0.1", resolve));
	return { server, port: server.address().port, address: `127.0.0.1:${server.address().port}` };
}

/** Sends a request. Resolves to {status, body}; status 0: no response (refused, reset or too late). */
export function call(address, method, path, body, timeoutMs, agent) {
	return new Promise((resolve) => {
		const [host, port] = address.split(":");
		const text = body === undefined ? undefined : JSON.stringify(body);
		const headers =
			text === undefined ? {} : { "content-type": "application/json", "content-length": Buffer.byteLength(text) };
		const req = request({ host, port: Number(port), method, path, headers, agent }, (res) => {
			const chunks = [];
			res.on("data", (chunk) => chunks.push(chunk));
			res.on("error", () => done({ status: 0 }));
			res.on("end", () => {
				let parsed = null;
				try {
					parsed = JSON.parse(Buffer.concat(chunks).toString("utf8"));
				} catch {}
				done({ status: res.statusCode, body: parsed, headers: res.headers });
			});
		});
		const timer = setTimeout(() => done({ status: 0, timedOut: true }), timeoutMs);
		let ended = false;
		function done(result) {
			if (ended) return;
			ended = true;
			clearTimeout(timer);
			if (result.status === 0) req.destroy();
			resolve(result);
		}
		req.on("error", () => done({ status: 0 }));
		req.end(text);
	});
}
