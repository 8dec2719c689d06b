import { CallError, type CallOutcome } from "../../src/coordination/ports/call-error.js";
import { parseJson, stringifyJson } from "../../src/protocol/json.js";
import type { HttpCaller } from "../../src/transport/clients/http-client.js";
import type { HttpResponse } from "../../src/transport/clients/http-response.js";
import type { FakeTime } from "./fake-time.js";

/** Handles a request at a stand-in; a promise that never resolves means no response. */
export type Handler = (
	method: string,
	path: string,
	body: unknown,
	from: string,
) => HttpResponse | Promise<HttpResponse>;

export interface LinkFault {
	/** The request does not arrive. */
	dropRequest?: boolean;
	/** The request is carried out, but its response does not arrive. */
	dropResponse?: boolean;
	/** Delays the request; it is carried out even if its sender has timed out by then. */
	delayMs?: number;
	/** Delays the response. */
	responseDelayMs?: number;
}

/** HTTP calls between hosts in fake time, with injected network faults. */
export class FakeNetwork {
	/** Returns the fault of a call; set by tests. */
	faultFor: (from: string, to: string, method: string, path: string) => LinkFault = () => ({});
	/** Returns the delay of the next transaction, whose response is then dropped; null: neither. */
	transactionDelayMs: () => number | null = () => null;
	/** Delays direct commands; status requests without commands are not delayed. */
	directCommandDelayMs = 0;
	/** Delays every response of the state service. */
	storeDelayMs = 0;
	private readonly down = new Set<string>();

	constructor(
		private readonly time: FakeTime,
		private readonly latencyMs = 2,
	) {}

	setDown(host: string, down: boolean): void {
		if (down) this.down.add(host);
		else this.down.delete(host);
	}

	isDown(host: string): boolean {
		return this.down.has(host);
	}

	caller(from: string, to: string, handler: Handler): HttpCaller {
		return {
			call: (method, path, body, deadlineMs) => this.call(from, to, handler, method, path, body, deadlineMs),
			close: () => {},
		};
	}

	private call(
		from: string,
		to: string,
		handler: Handler,
		method: string,
		path: string,
		body: unknown,
		deadlineMs: number,
	): Promise<HttpResponse> {
		const delayMs = to === "state" && path === "/multi" ? this.transactionDelayMs() : null;
		const transactionFault = delayMs === null ? null : { delayMs, dropResponse: true };
		const fault: LinkFault = transactionFault ?? { ...this.faultFor(from, to, method, path) };
		const commandCount = (body as { orders?: unknown[] } | undefined)?.orders?.length ?? 0;
		if (path === "/commands" && commandCount > 0 && this.directCommandDelayMs > 0)
			fault.delayMs ??= this.directCommandDelayMs;
		const responseDelayMs = (fault.responseDelayMs ?? 0) + (to === "state" ? this.storeDelayMs : 0);
		const receivedBody = body === undefined ? undefined : parseJson(stringifyJson(body));
		return new Promise((resolve, reject) => {
			const fail = (outcome: CallOutcome, reason: string) =>
				reject(new CallError(outcome, 0, `${method} ${path}: ${reason}`));
			this.time.after(deadlineMs, () => fail("unknown", "no response in time"));
			if (fault.dropRequest || this.down.has(from)) return;
			if (this.down.has(to)) {
				this.time.after(this.latencyMs, () => fail("not executed", "connection refused"));
				return;
			}
			this.time.after(this.latencyMs + (fault.delayMs ?? 0), async () => {
				if (this.down.has(to)) return;
				const response = await handler(method, path, receivedBody, from);
				if (fault.dropResponse || this.down.has(from)) return;
				const receivedResponse = parseJson(stringifyJson(response)) as HttpResponse;
				this.time.after(this.latencyMs + responseDelayMs, () => resolve(receivedResponse));
			});
		});
	}
}
