import { CallError, type CallOutcome } from "../../src/coordination/ports/call-error.js";
import type { HttpCaller } from "../../src/transport/clients/http-client.js";
import type { HttpResponse } from "../../src/transport/clients/http-response.js";
import type { FakeTime } from "./fake-time.js";

/** A stand-in's answer; undefined: it never answers. */
export type Handler = (
	method: string,
	path: string,
	body: unknown,
	from: string,
) => HttpResponse | Promise<HttpResponse>;

export interface LinkFault {
	/** The request never arrives. */
	dropRequest?: boolean;
	/** The request is carried out, the answer is lost. */
	dropResponse?: boolean;
	/** The request arrives this much later, after its sender has given up. */
	delayMs?: number;
}

/** Calls between hosts in fake time, with the faults a network has. */
export class FakeNetwork {
	/** Asked for every call; tests set it. */
	faultFor: (from: string, to: string, method: string, path: string) => LinkFault = () => ({});
	/** Transactions that get no answer and are carried out so much later; asked for each. */
	transactionDelayMs: () => number | null = () => null;
	/** Direct orders arrive so much later; questions without orders do not. */
	directCommandDelayMs = 0;
	/** Every answer of the state service takes so much longer. */
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
		const responseDelayMs = to === "state" ? this.storeDelayMs : 0;
		const receivedBody = body === undefined ? undefined : JSON.parse(JSON.stringify(body));
		return new Promise((resolve, reject) => {
			const fail = (outcome: CallOutcome, reason: string) =>
				reject(new CallError(outcome, 0, `${method} ${path}: ${reason}`));
			this.time.after(deadlineMs, () => fail("unknown", "no answer in time"));
			if (fault.dropRequest || this.down.has(from)) return;
			if (this.down.has(to)) {
				this.time.after(this.latencyMs, () => fail("not executed", "connection refused"));
				return;
			}
			this.time.after(this.latencyMs + (fault.delayMs ?? 0), async () => {
				if (this.down.has(to)) return;
				const response = await handler(method, path, receivedBody, from);
				if (fault.dropResponse || this.down.has(from)) return;
				const receivedResponse = JSON.parse(JSON.stringify(response)) as HttpResponse;
				this.time.after(this.latencyMs + responseDelayMs, () => resolve(receivedResponse));
			});
		});
	}
}
