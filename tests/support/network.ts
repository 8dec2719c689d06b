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
	cut?: boolean;
	/** The request is carried out, the answer is lost. */
	loseAnswer?: boolean;
	/** The request arrives this much later, after its sender has given up. */
	delayMs?: number;
}

/** Calls between hosts in fake time, with the faults a network has. */
export class FakeNetwork {
	/** Asked for every call; tests set it. */
	fault: (from: string, to: string, method: string, path: string) => LinkFault = () => ({});
	/** Transactions that get no answer and are carried out so much later; asked for each. */
	lateWrites: () => number | null = () => null;
	/** Direct orders arrive so much later; questions without orders do not. */
	lateOrdersMs = 0;
	/** Every answer of the state service takes so much longer. */
	slowStateMs = 0;
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
		const lateMs = to === "state" && path === "/multi" ? this.lateWrites() : null;
		const lateWrite = lateMs === null ? null : { delayMs: lateMs, loseAnswer: true };
		const fault: LinkFault = lateWrite ?? { ...this.fault(from, to, method, path) };
		const orders = (body as { orders?: unknown[] } | undefined)?.orders?.length ?? 0;
		if (path === "/commands" && orders > 0 && this.lateOrdersMs > 0) fault.delayMs ??= this.lateOrdersMs;
		const slowMs = to === "state" ? this.slowStateMs : 0;
		const copy = body === undefined ? undefined : JSON.parse(JSON.stringify(body));
		return new Promise((resolve, reject) => {
			const fail = (outcome: CallOutcome, why: string) =>
				reject(new CallError(outcome, 0, `${method} ${path}: ${why}`));
			this.time.after(deadlineMs, () => fail("unknown", "no answer in time"));
			if (fault.cut || this.down.has(from)) return;
			if (this.down.has(to)) {
				this.time.after(this.latencyMs, () => fail("not executed", "connection refused"));
				return;
			}
			this.time.after(this.latencyMs + (fault.delayMs ?? 0), async () => {
				if (this.down.has(to)) return;
				const answer = await handler(method, path, copy, from);
				if (fault.loseAnswer || this.down.has(from)) return;
				const wire = JSON.parse(JSON.stringify(answer)) as HttpResponse;
				this.time.after(this.latencyMs + slowMs, () => resolve(wire));
			});
		});
	}
}
