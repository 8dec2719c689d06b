import type { HttpResponse } from "../../src/transport/clients/http-response.js";
import type { FakeTime } from "./fake-time.js";

export interface WorkerEnvironment {
	heartbeatIntervalS: number;
	leaseS: number;
	/** Sends a report to a controller; undefined: no answer. */
	sendHeartbeat(
		worker: FakeWorker,
		node: string,
		body: Record<string, unknown>,
	): Promise<HttpResponse | undefined>;
	nodes: string[];
	runSeconds(piece: string): number | null;
	/** The task was submitted with a mistake and fails on this machine. */
	failsTask(worker: FakeWorker, piece: string): boolean;
	taskStarted(worker: FakeWorker, piece: string): void;
	taskEnded(worker: FakeWorker, piece: string): void;
}

interface AttemptStatus {
	piece: string;
	try: number;
	status: "running" | "exited";
	cause?: string;
}

/** A machine's worker after the published protocol; image fetches take no time. */
export class FakeWorker {
	private agentEpoch = 1;
	private sequence = 0;
	fencingToken = 0;
	private attempts = new Map<string, AttemptStatus>();
	private leaseRenewedAt: number;
	private nodeIndex = 0;
	private heartbeatInFlight = false;
	private nextHeartbeatAt = 0;
	private lastHeartbeatAt = -Infinity;
	terminated = false;
	/** Cut off from all controllers. */
	partitioned = false;
	/** Its reports arrive, but neither answers nor orders reach it. */
	inboundDropped = false;
	/** Reaches no controller, while direct orders reach it. */
	heartbeatsDropped = false;
	/** Fails every task at once. */
	failsAllTasks = false;
	reclaimAt: number | null = null;
	/** While it hangs, what comes in and what falls due is done only when it goes on. */
	private queuedWhileHung: (() => void)[] | null = null;

	constructor(
		readonly host: string,
		readonly machineType: string,
		readonly zone: string,
		readonly spot: boolean,
		private readonly time: FakeTime,
		private readonly environment: WorkerEnvironment,
	) {
		this.leaseRenewedAt = time.now();
		this.step();
	}

	/** Up, and to be reached both ways. */
	get healthy(): boolean {
		return (
			!this.terminated &&
			!this.partitioned &&
			!this.heartbeatsDropped &&
			!this.inboundDropped &&
			!this.failsAllTasks &&
			this.queuedWhileHung === null
		);
	}

	hang(): void {
		this.queuedWhileHung ??= [];
	}

	resume(): void {
		const queued = this.queuedWhileHung ?? [];
		this.queuedWhileHung = null;
		if (queued.length > 0 && !this.terminated) {
			// Its lease is looked at before anything else is done.
			if (this.time.now() - this.leaseRenewedAt > this.environment.leaseS * 1000) this.expireLease();
			for (const run of queued) run();
		}
	}

	private runOrQueue(run: () => void): void {
		if (this.queuedWhileHung) this.queuedWhileHung.push(run);
		else run();
	}

	private step(): void {
		if (this.terminated) return;
		if (this.queuedWhileHung) {
			this.time.after(50, () => this.step());
			return;
		}
		const now = this.time.now();
		if (now - this.leaseRenewedAt > this.environment.leaseS * 1000) this.expireLease();
		if (!this.heartbeatInFlight && now >= this.nextHeartbeatAt) void this.sendHeartbeat();
		this.time.after(50, () => this.step());
	}

	private expireLease(): void {
		this.endAllTasks();
		this.agentEpoch += 1;
		this.leaseRenewedAt = this.time.now();
		this.advanceNextHeartbeat();
	}

	private endAllTasks(): void {
		for (const p of this.attempts.values())
			if (p.status === "running") this.environment.taskEnded(this, p.piece);
		this.attempts.clear();
	}

	terminate(): void {
		this.terminated = true;
		this.endAllTasks();
	}

	private advanceNextHeartbeat(): void {
		this.nextHeartbeatAt = Math.min(
			this.nextHeartbeatAt,
			Math.max(this.time.now(), this.lastHeartbeatAt + 500),
		);
	}

	heartbeatBody(): Record<string, unknown> {
		this.sequence += 1;
		return {
			host: this.host,
			endpoint: `${this.host}:9000`,
			shape: this.machineType,
			hall: this.zone,
			loaners: this.spot,
			shift: this.agentEpoch,
			tick: this.sequence,
			baton: this.fencingToken,
			recall_s: this.reclaimAt === null ? null : Math.max(0, (this.reclaimAt - this.time.now()) / 1000),
			pieces: [...this.attempts.values()].map((p) => ({ ...p })),
		};
	}

	private async sendHeartbeat(): Promise<void> {
		this.heartbeatInFlight = true;
		const sentAt = this.time.now();
		const agentEpoch = this.agentEpoch;
		this.lastHeartbeatAt = sentAt;
		this.nextHeartbeatAt = sentAt + this.environment.heartbeatIntervalS * 1000;
		const node = this.environment.nodes[this.nodeIndex % this.environment.nodes.length] as string;
		const body = this.heartbeatBody();
		const dropped = this.partitioned || this.heartbeatsDropped;
		const response = dropped
			? await this.waitForResponseTimeout()
			: await this.environment.sendHeartbeat(this, node, body);
		await new Promise<void>((resolve) => this.runOrQueue(resolve));
		// Hearing nothing, it gives up after the time it waits for an answer.
		const inboundDropped = this.inboundDropped;
		if (inboundDropped) await this.waitForResponseTimeout();
		this.heartbeatInFlight = false;
		if (this.terminated) return;
		if (inboundDropped) {
			this.nodeIndex += 1;
			this.nextHeartbeatAt = this.time.now() + 1000;
			return;
		}
		if (response?.status === 200) {
			if (agentEpoch === this.agentEpoch)
				this.handleResponse(response.body as Record<string, unknown>, sentAt);
			return;
		}
		const redirectNode =
			response?.status === 421 ? (response.body as { foreman?: string }).foreman : undefined;
		const redirectIndex = redirectNode === undefined ? -1 : this.environment.nodes.indexOf(redirectNode);
		if (redirectIndex >= 0 && redirectIndex !== this.nodeIndex % this.environment.nodes.length) {
			this.nodeIndex = redirectIndex;
			this.nextHeartbeatAt = this.time.now() + 100;
		} else {
			this.nodeIndex += 1;
			this.nextHeartbeatAt = this.time.now() + 1000;
		}
	}

	private waitForResponseTimeout(): Promise<undefined> {
		return new Promise((resolve) => this.time.after(4000, () => resolve(undefined)));
	}

	private handleResponse(body: Record<string, unknown>, sentAt: number): void {
		const fencingToken = typeof body.baton === "number" ? body.baton : -1;
		if (fencingToken < this.fencingToken) return;
		if (fencingToken > this.fencingToken) {
			this.fencingToken = fencingToken;
			this.advanceNextHeartbeat();
		}
		this.leaseRenewedAt = Math.max(this.leaseRenewedAt, sentAt);
		this.executeCommands(body.orders as Record<string, unknown>[]);
	}

	/** Orders that come to a machine that hangs are carried out when it goes on. */
	receiveCommands(body: Record<string, unknown>): Promise<HttpResponse> {
		return new Promise((resolve) => this.runOrQueue(() => resolve(this.handleCommands(body))));
	}

	/** POST /commands. */
	handleCommands(body: Record<string, unknown>): HttpResponse {
		if (typeof body.baton !== "number" || typeof body.shift !== "number") return { status: 400, body: {} };
		if (body.baton < this.fencingToken || body.shift !== this.agentEpoch)
			return { status: 409, body: this.heartbeatBody() };
		if (body.baton > this.fencingToken) {
			this.fencingToken = body.baton;
			this.advanceNextHeartbeat();
		}
		this.executeCommands(body.orders as Record<string, unknown>[]);
		return { status: 200, body: this.heartbeatBody() };
	}

	private executeCommands(commands: Record<string, unknown>[]): void {
		for (const command of commands) {
			const task = String(command.piece);
			const attempt = Number(command.try);
			const key = `${task}#${attempt}`;
			const entry = this.attempts.get(key);
			if (command.verb === "run") {
				if (entry) continue;
				this.runTask(task, attempt, key);
			} else if (command.verb === "halt" && entry?.status === "running") this.endAttempt(key, "stopped");
			else if (command.verb === "forget" && entry?.status === "exited") {
				this.attempts.delete(key);
				this.advanceNextHeartbeat();
			}
		}
	}

	private runTask(task: string, attempt: number, key: string): void {
		const seconds = this.environment.runSeconds(task);
		const alreadyRunning = [...this.attempts.values()].some(
			(p) => p.piece === task && p.status === "running",
		);
		const entry: AttemptStatus = { piece: task, try: attempt, status: "running" };
		this.attempts.set(key, entry);
		this.advanceNextHeartbeat();
		if (alreadyRunning || seconds === null) {
			entry.status = "exited";
			entry.cause = alreadyRunning ? "busy" : "no_such";
			return;
		}
		this.environment.taskStarted(this, task);
		if (this.failsAllTasks || this.environment.failsTask(this, task)) this.endAttempt(key, "error");
		else this.time.after(seconds * 1000, () => this.runOrQueue(() => this.endAttempt(key, "done")));
	}

	private endAttempt(key: string, cause: string): void {
		const entry = this.attempts.get(key);
		if (this.terminated || entry?.status !== "running") return;
		entry.status = "exited";
		entry.cause = cause;
		this.environment.taskEnded(this, entry.piece);
		this.advanceNextHeartbeat();
	}
}
