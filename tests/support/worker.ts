import type { HttpResponse } from "../../src/transport/clients/http-response.js";
import type { FakeTime } from "./fake-time.js";

export interface WorkerWorld {
	reportS: number;
	leaseS: number;
	/** Sends a report to a controller; undefined: no answer. */
	send(worker: FakeWorker, node: string, body: Record<string, unknown>): Promise<HttpResponse | undefined>;
	nodes: string[];
	runSeconds(piece: string): number | null;
	/** The task was submitted with a mistake and fails on this machine. */
	fails(worker: FakeWorker, piece: string): boolean;
	started(worker: FakeWorker, piece: string): void;
	ended(worker: FakeWorker, piece: string): void;
}

interface Piece {
	piece: string;
	try: number;
	status: "running" | "exited";
	cause?: string;
}

/** A machine's worker after the published protocol; image fetches take no time. */
export class FakeWorker {
	private shift = 1;
	private tick = 0;
	baton = 0;
	private pieces = new Map<string, Piece>();
	private leaseFrom: number;
	private node = 0;
	private inFlight = false;
	private nextAt = 0;
	private lastAt = -Infinity;
	dead = false;
	/** Cut off from all controllers. */
	cut = false;
	/** Its reports arrive, but neither answers nor orders reach it. */
	deaf = false;
	/** Reaches no controller, while direct orders reach it. */
	mute = false;
	/** Fails every task at once. */
	sick = false;
	recallAt: number | null = null;
	/** While it hangs, what comes in and what falls due is done only when it goes on. */
	private hung: (() => void)[] | null = null;

	constructor(
		readonly host: string,
		readonly shape: string,
		readonly hall: string,
		readonly loaners: boolean,
		private readonly time: FakeTime,
		private readonly world: WorkerWorld,
	) {
		this.leaseFrom = time.now();
		this.step();
	}

	/** Up, and to be reached both ways. */
	get well(): boolean {
		return !this.dead && !this.cut && !this.mute && !this.deaf && !this.sick && this.hung === null;
	}

	hang(): void {
		this.hung ??= [];
	}

	goOn(): void {
		const late = this.hung ?? [];
		this.hung = null;
		if (late.length > 0 && !this.dead) {
			// Its lease is looked at before anything else is done.
			if (this.time.now() - this.leaseFrom > this.world.leaseS * 1000) this.expire();
			for (const run of late) run();
		}
	}

	private awake(run: () => void): void {
		if (this.hung) this.hung.push(run);
		else run();
	}

	private step(): void {
		if (this.dead) return;
		if (this.hung) {
			this.time.after(50, () => this.step());
			return;
		}
		const now = this.time.now();
		if (now - this.leaseFrom > this.world.leaseS * 1000) this.expire();
		if (!this.inFlight && now >= this.nextAt) void this.report();
		this.time.after(50, () => this.step());
	}

	private expire(): void {
		this.clear();
		this.shift += 1;
		this.leaseFrom = this.time.now();
		this.changed();
	}

	private clear(): void {
		for (const p of this.pieces.values()) if (p.status === "running") this.world.ended(this, p.piece);
		this.pieces.clear();
	}

	die(): void {
		this.dead = true;
		this.clear();
	}

	private changed(): void {
		this.nextAt = Math.min(this.nextAt, Math.max(this.time.now(), this.lastAt + 500));
	}

	show(): Record<string, unknown> {
		this.tick += 1;
		return {
			host: this.host,
			endpoint: `${this.host}:9000`,
			shape: this.shape,
			hall: this.hall,
			loaners: this.loaners,
			shift: this.shift,
			tick: this.tick,
			baton: this.baton,
			recall_s: this.recallAt === null ? null : Math.max(0, (this.recallAt - this.time.now()) / 1000),
			pieces: [...this.pieces.values()].map((p) => ({ ...p })),
		};
	}

	private async report(): Promise<void> {
		this.inFlight = true;
		const sentAt = this.time.now();
		const shift = this.shift;
		this.lastAt = sentAt;
		this.nextAt = sentAt + this.world.reportS * 1000;
		const node = this.world.nodes[this.node % this.world.nodes.length] as string;
		const body = this.show();
		const unreached = this.cut || this.mute;
		const answer = unreached ? await this.silence() : await this.world.send(this, node, body);
		await new Promise<void>((resolve) => this.awake(resolve));
		// Hearing nothing, it gives up after the time it waits for an answer.
		const deaf = this.deaf;
		if (deaf) await this.silence();
		this.inFlight = false;
		if (this.dead) return;
		if (deaf) {
			this.node += 1;
			this.nextAt = this.time.now() + 1000;
			return;
		}
		if (answer?.status === 200) {
			if (shift === this.shift) this.obey(answer.body as Record<string, unknown>, sentAt);
			return;
		}
		const named = answer?.status === 421 ? (answer.body as { foreman?: string }).foreman : undefined;
		const at = named === undefined ? -1 : this.world.nodes.indexOf(named);
		if (at >= 0 && at !== this.node % this.world.nodes.length) {
			this.node = at;
			this.nextAt = this.time.now() + 100;
		} else {
			this.node += 1;
			this.nextAt = this.time.now() + 1000;
		}
	}

	private silence(): Promise<undefined> {
		return new Promise((resolve) => this.time.after(4000, () => resolve(undefined)));
	}

	private obey(body: Record<string, unknown>, sentAt: number): void {
		const baton = typeof body.baton === "number" ? body.baton : -1;
		if (baton < this.baton) return;
		if (baton > this.baton) {
			this.baton = baton;
			this.changed();
		}
		this.leaseFrom = Math.max(this.leaseFrom, sentAt);
		this.carryOut(body.orders as Record<string, unknown>[]);
	}

	/** Orders that come to a machine that hangs are carried out when it goes on. */
	ordered(body: Record<string, unknown>): Promise<HttpResponse> {
		return new Promise((resolve) => this.awake(() => resolve(this.commands(body))));
	}

	/** POST /commands. */
	commands(body: Record<string, unknown>): HttpResponse {
		if (typeof body.baton !== "number" || typeof body.shift !== "number") return { status: 400, body: {} };
		if (body.baton < this.baton || body.shift !== this.shift) return { status: 409, body: this.show() };
		if (body.baton > this.baton) {
			this.baton = body.baton;
			this.changed();
		}
		this.carryOut(body.orders as Record<string, unknown>[]);
		return { status: 200, body: this.show() };
	}

	private carryOut(orders: Record<string, unknown>[]): void {
		for (const order of orders) {
			const piece = String(order.piece);
			const attempt = Number(order.try);
			const key = `${piece}#${attempt}`;
			const held = this.pieces.get(key);
			if (order.verb === "run") {
				if (held) continue;
				this.run(piece, attempt, key);
			} else if (order.verb === "halt" && held?.status === "running") this.exit(key, "stopped");
			else if (order.verb === "forget" && held?.status === "exited") {
				this.pieces.delete(key);
				this.changed();
			}
		}
	}

	private run(piece: string, attempt: number, key: string): void {
		const seconds = this.world.runSeconds(piece);
		const busy = [...this.pieces.values()].some((p) => p.piece === piece && p.status === "running");
		const entry: Piece = { piece, try: attempt, status: "running" };
		this.pieces.set(key, entry);
		this.changed();
		if (busy || seconds === null) {
			entry.status = "exited";
			entry.cause = busy ? "busy" : "no_such";
			return;
		}
		this.world.started(this, piece);
		if (this.sick || this.world.fails(this, piece)) this.exit(key, "error");
		else this.time.after(seconds * 1000, () => this.awake(() => this.exit(key, "done")));
	}

	private exit(key: string, cause: string): void {
		const entry = this.pieces.get(key);
		if (this.dead || entry?.status !== "running") return;
		entry.status = "exited";
		entry.cause = cause;
		this.world.ended(this, entry.piece);
		this.changed();
	}
}
