import { Agent, request } from "node:http";
import { CallError } from "../coordination/ports/call-error.js";
import { MalformedMessageError } from "../protocol/errors.js";

export interface HttpResponse {
	status: number;
	body: unknown;
}

/** What the clients need of an HTTP connection; tests put a stand-in here. */
export interface HttpCaller {
	call(method: string, path: string, body: unknown, deadlineMs: number): Promise<HttpResponse>;
	close(): void;
}

/** A deadline noticed later than this passed while the process stood still. */
const noticedLateMs = 500;
/** So long an answer that came meanwhile may take to be read. */
const lateAnswerGraceMs = 50;

/** One outside system reached over kept-open connections; every call has a deadline. */
export class HttpClient implements HttpCaller {
	private readonly agent: Agent;
	private readonly host: string;
	private readonly port: number;

	constructor(address: string, maxSockets: number) {
		const at = address.lastIndexOf(":");
		this.host = address.slice(0, at);
		this.port = Number(address.slice(at + 1));
		this.agent = new Agent({ keepAlive: true, maxSockets, maxFreeSockets: 4, scheduling: "lifo" });
	}

	call(method: string, path: string, body: unknown, deadlineMs: number): Promise<HttpResponse> {
		return new Promise((resolve, reject) => {
			const payload = body === undefined ? undefined : JSON.stringify(body);
			const headers: Record<string, string | number> = {};
			if (payload !== undefined) {
				headers["content-type"] = "application/json";
				headers["content-length"] = Buffer.byteLength(payload);
			}
			let connected = false;
			let settled = false;
			const fail = (message: string) => {
				if (settled) return;
				settled = true;
				clearTimeout(timer);
				// Nothing was sent as long as no connection was made, so nothing can be executed later.
				reject(new CallError(connected ? "unknown" : "not executed", 0, `${method} ${path}: ${message}`));
				req.destroy();
			};
			const req = request(
				{ host: this.host, port: this.port, method, path, headers, agent: this.agent },
				(res) => {
					const chunks: Buffer[] = [];
					res.on("data", (chunk: Buffer) => chunks.push(chunk));
					res.on("error", (error) => fail(error.message));
					res.on("aborted", () => fail("connection closed within the answer"));
					res.on("end", () => {
						if (settled) return;
						settled = true;
						clearTimeout(timer);
						const text = Buffer.concat(chunks).toString("utf8");
						try {
							resolve({ status: res.statusCode ?? 0, body: text === "" ? null : JSON.parse(text) });
						} catch {
							reject(new CallError("unknown", res.statusCode ?? 0, `${method} ${path}: answer is not JSON`));
						}
					});
				},
			);
			req.on("socket", (socket) => {
				if (socket.connecting) {
					socket.once("connect", () => {
						connected = true;
						socket.setNoDelay(true);
					});
				} else connected = true;
			});
			req.on("error", (error) => fail(error.message));
			const due = performance.now() + deadlineMs;
			const expire = () => fail("no answer in time");
			// Timers run before sockets are read. After a pause of the whole process the answer may
			// have been here for long, and the other side is not to blame.
			let timer = setTimeout(() => {
				if (performance.now() - due > noticedLateMs) timer = setTimeout(expire, lateAnswerGraceMs);
				else expire();
			}, deadlineMs);
			req.end(payload);
		});
	}

	close(): void {
		this.agent.destroy();
	}
}

/** Turns any answer but those expected into a failure of the right kind. */
export function expectStatus(answer: HttpResponse, what: string, ...good: number[]): unknown {
	if (good.includes(answer.status)) return answer.body;
	const refused = answer.status === 429 || answer.status === 503;
	throw new CallError(
		refused ? "not executed" : answer.status >= 500 ? "unknown" : "rejected",
		answer.status,
		`${what}: status ${answer.status}`,
	);
}

/**
 * Reads the body of an answer. One that is not of the published form says nothing about what was
 * done, so it counts as no answer, and nothing of it is used.
 */
export function parseResponse<T>(answer: HttpResponse, what: string, parse: (body: unknown) => T): T {
	try {
		return parse(answer.body);
	} catch (error) {
		if (!(error instanceof MalformedMessageError)) throw error;
		throw new CallError("unknown", answer.status, `${what}: malformed answer: ${error.message}`);
	}
}
