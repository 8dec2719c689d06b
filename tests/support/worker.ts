import { nextUint64, toUint64, type Uint64 } from "../../src/protocol/model/uint64.js";
import type { HttpResponse } from "../../src/transport/clients/http-response.js";
import type { FakeTime } from "./fake-time.js";

export interface WorkerEnvironment {
	heartbeatIntervalS: number;
	leaseS: number;
	/** The value before the first agent epoch, and before the first sequence number, of workers that start. */
	countersBefore: Uint64;
	/** Sends a heartbeat to a controller; undefined: no response. */
	sendHeartbeat(
		worker: FakeWorker,
		node: string,
		body: Record<string, unknown>,
	): Promise<HttpResponse | undefined>;
	nodes: string[];
	/** Returns the run time of a task; null for an unknown task. */
	runSeconds(task: string): number | null;
	/** True if the task fails on this machine because its job is faulty. */
	failsTask(worker: FakeWorker, task: string): boolean;
	/** Called when a response renews the lease from the sending of its heartbeat on. */
	leaseRenewed?(worker: FakeWorker, sentAt: number): void;
	/** Called with each start that the worker executes. */
	attemptStarted?(task: string, attempt: Uint64): void;
	taskStarted(worker: FakeWorker, task: string): void;
	taskEnded(worker: FakeWorker, task: string): void;
}

/** An attempt as heartbeats list it, with the field names of the wire. */
interface AttemptStatus {
	piece: string;
	try: Uint64;
	status: "running" | "exited";
	cause?: string;
}

/** A worker that follows the published protocol; image fetches take no time. */
export class FakeWorker {
	private agentEpoch: Uint64;
	private sequence: Uint64;
	fencingToken: Uint64 = 0;
	private attempts = new Map<string, AttemptStatus>();
	private leaseRenewedAt: number;
	private nodeIndex = 0;
	private heartbeatInFlight = false;
	private nextHeartbeatAt = 0;
	private lastHeartbeatAt = -Infinity;
	terminated = false;
	/** Cut off from all controllers. */
	partitioned = false;
	/** Its heartbeats arrive, but neither responses nor commands reach it. */
	inboundDropped = false;
	/** Its heartbeats reach no controller, while direct commands reach it. */
	heartbeatsDropped = false;
	/** Fails every task as soon as it starts. */
	failsAllTasks = false;
	reclaimAt: number | null = null;
	/** Received commands, responses and due timers while the worker hangs, to be processed on `resume`; null: it runs. */
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
		this.agentEpoch = nextUint64(environment.countersBefore);
		this.sequence = environment.countersBefore;
		this.step();
	}

	/** True if the worker runs without any injected fault. */
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

	/** True if the lease has expired, and the worker ends its tasks as soon as it does not hang. */
	get leaseExpired(): boolean {
		return this.time.now() - this.leaseRenewedAt > this.environment.leaseS * 1000;
	}

	hang(): void {
		this.queuedWhileHung ??= [];
	}

	resume(): void {
		const queued = this.queuedWhileHung ?? [];
		this.queuedWhileHung = null;
		if (queued.length > 0 && !this.terminated) {
			// The lease is checked before anything queued is processed.
			if (this.leaseExpired) this.expireLease();
			for (const action of queued) action();
		}
	}

	private runOrQueue(action: () => void): void {
		if (this.queuedWhileHung) this.queuedWhileHung.push(action);
		else action();
	}

	private step(): void {
		if (this.terminated) return;
		if (this.queuedWhileHung) {
			this.time.after(50, () => this.step());
			return;
		}
		const now = this.time.now();
		if (this.leaseExpired) this.expireLease();
		if (!this.heartbeatInFlight && now >= this.nextHeartbeatAt) void this.sendHeartbeat();
		this.time.after(50, () => this.step());
	}

	private expireLease(): void {
		this.endAllTasks();
		this.agentEpoch = nextUint64(this.agentEpoch);
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

	/** Sends the next heartbeat at once after a change, but at least 500 ms after the last one. */
	private advanceNextHeartbeat(): void {
		this.nextHeartbeatAt = Math.min(
			this.nextHeartbeatAt,
			Math.max(this.time.now(), this.lastHeartbeatAt + 500),
		);
	}

	/** Returns the next heartbeat in the form of the wire. */
	heartbeatBody(): Record<string, unknown> {
		this.sequence = nextUint64(this.sequence);
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
		// With inbound traffic dropped, the request times out.
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
		const fencingToken: Uint64 = toUint64(body.baton) ?? -1;
		if (fencingToken < this.fencingToken) return;
		if (fencingToken > this.fencingToken) {
			this.fencingToken = fencingToken;
			this.advanceNextHeartbeat();
		}
		this.leaseRenewedAt = Math.max(this.leaseRenewedAt, sentAt);
		this.environment.leaseRenewed?.(this, sentAt);
		this.executeCommands(body.orders as Record<string, unknown>[]);
	}

	/** Handles direct commands, once the worker resumes if it hangs. */
	receiveCommands(body: Record<string, unknown>): Promise<HttpResponse> {
		return new Promise((resolve) => this.runOrQueue(() => resolve(this.handleCommands(body))));
	}

	/** Handles POST /commands. */
	handleCommands(body: Record<string, unknown>): HttpResponse {
		const fencingToken = toUint64(body.baton);
		const agentEpoch = toUint64(body.shift);
		if (fencingToken === null || agentEpoch === null) return { status: 400, body: {} };
		if (fencingToken < this.fencingToken || agentEpoch !== this.agentEpoch)
			return { status: 409, body: this.heartbeatBody() };
		if (fencingToken > this.fencingToken) {
			this.fencingToken = fencingToken;
			this.advanceNextHeartbeat();
		}
		this.executeCommands(body.orders as Record<string, unknown>[]);
		return { status: 200, body: this.heartbeatBody() };
	}

	private executeCommands(commands: Record<string, unknown>[]): void {
		for (const command of commands) {
			const task = String(command.piece);
			const attempt = command.try as Uint64;
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

	private runTask(task: string, attempt: Uint64, key: string): void {
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
		this.environment.attemptStarted?.(task, attempt);
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
