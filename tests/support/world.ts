import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Controller } from "../../src/coordination/controller.js";
import { type ControllerPorts, createController } from "../../src/coordination/controller-composition.js";
import type { Log } from "../../src/coordination/ports/log.js";
import { heartbeatResponseBody, parseHeartbeat, redirectBody } from "../../src/protocol/http/worker-api.js";
import { parseJson, stringifyJson } from "../../src/protocol/json.js";
import type { Uint64 } from "../../src/protocol/model/uint64.js";
import { defaultOperatorSettings } from "../../src/protocol/settings/operator.js";
import { parsePlatformSettings } from "../../src/protocol/settings/platform.js";
import { createTeamQuota } from "../../src/team-quota.js";
import { CloudClient } from "../../src/transport/clients/cloud-client.js";
import type { HttpResponse } from "../../src/transport/clients/http-response.js";
import { StoreClient } from "../../src/transport/clients/store-client.js";
import { WorkerClient } from "../../src/transport/clients/worker-client.js";
import { encodeFrame, FrameReader } from "../../src/transport/peers/frame.js";
import { publicApi } from "../../src/transport/public/public-api.js";
import { maxBodyBytes } from "../../src/transport/public/request-body.js";
import { FakeCloud } from "./cloud.js";
import { type ControllerProcess, PausableExecutor, WorkerConnections } from "./controller-process.js";
import { FakeTime } from "./fake-time.js";
import type { CopiedMessage, LateCopies } from "./late-copies.js";
import { FakeNetwork, type Handler } from "./network.js";
import { RunningTasks, type TrackedJob } from "./running-tasks.js";
import { StateService } from "./state-service.js";
import { type PeerMessageOnWire, UnnamedProcess } from "./unnamed-process.js";
import { FakeWorker, type WorkerEnvironment } from "./worker.js";
import {
	defaultHeartbeatIntervalS,
	nodeNames,
	type PlatformOverrides,
	platformSettingsText,
} from "./world-settings.js";

export interface JobBody {
	id: string;
	pieces: number;
	cores: number;
	ram_gb?: number;
	desk?: string;
	urgency?: string;
	shapes?: string[] | null;
	hall?: string | null;
	one_zone?: boolean;
	spread?: boolean;
	loaners?: boolean;
	guess_s?: number;
	form?: string;
	bookmark_s?: number;
	due_s?: number | null;
	/** Not on the wire: actual run time of its tasks, for all or by task. */
	run_s?: number | number[];
	/** Not on the wire: machine types on which its tasks fail because the job is faulty. */
	fails_on_types?: string[];
}

/** The fields of a response that users read. */
export interface UserResponse {
	status?: string;
	error?: string;
}

/**
 * Controllers, three by default, in fake time between stand-ins for workers, state service, cloud, network and users.
 * Violations of the invariants are recorded: duplicate starts, wrong placement, exceeded limits, lost jobs.
 */
export class World {
	readonly time = new FakeTime();
	readonly network = new FakeNetwork(this.time);
	readonly state = new StateService(this.time);
	readonly cloud: FakeCloud;
	readonly workers = new Map<string, FakeWorker>();
	readonly jobs = new Map<string, TrackedJob>();
	/** Violated invariants, in order. */
	readonly violations: string[] = [];
	readonly logs: string[] = [];
	private readonly tasks = new RunningTasks(this);
	private readonly processes = new Map<string, ControllerProcess>();
	private readonly peerIsolatedNodes = new Set<string>();
	private incarnation = 0;

	/** Delays after which a copy of every heartbeat arrives at the node to which it was sent. */
	duplicateHeartbeatsAfterS: number[] = [];

	/** Delivers late copies of all messages; null: there are none. */
	lateCopies: LateCopies | null = null;

	/** True if workers' connections to a process that ends are reset; false: they hang until the worker times out. */
	connectionsResetOnCrash = false;

	/** True while the trace player injects link faults; no stand-in records these. */
	linkFaultsActive = false;
	/** Changed CPU limits of teams, which replace those of the settings. */
	readonly teamLimitOverrides = new Map<string, number>();
	/** Heap limit of processes that start from now on. */
	heapLimitBytes = 102 * 1024 * 1024;
	/** True if the settings of processes that start from now on name the future limits of the state service. */
	nextLimitsAnnounced = false;

	constructor(
		capacity = 4,
		readonly nodes: string[] = nodeNames,
		private readonly forwarding = false,
		/** True if processes that start from now on run with team quota. */
		public teamQuota = false,
		private readonly platformOverrides: PlatformOverrides = {},
	) {
		this.workerEnvironment.heartbeatIntervalS =
			platformOverrides.heartbeatIntervalS ?? defaultHeartbeatIntervalS;
		const type = (sku: string, cores: number, rate: number) => ({
			sku,
			cores,
			ram_gb: cores * 4,
			rate,
			market_price: rate / 3,
			boot_s: 5,
			halls: ["a", "b"],
		});
		this.cloud = new FakeCloud(this.time, [type("small", 4, 0.2), type("large", 8, 0.4)], capacity, {
			booted: (host) => {
				const worker = new FakeWorker(
					host.id,
					host.machineType,
					host.zone,
					host.spot,
					this.time,
					this.workerEnvironment,
				);
				this.workers.set(host.id, worker);
			},
			removed: (id) => this.workers.get(id)?.terminate(),
		});
		this.workerEnvironment.nodes.push(...nodes);
		for (const node of nodes) this.start(node);
		this.checkWaitingPeriodically();
	}

	/** Machines on which each task was started, in order. */
	get starts(): ReadonlyMap<string, string[]> {
		return this.tasks.starts;
	}

	/** The attempts that workers have started, in order. */
	readonly startedAttempts: { task: string; attempt: Uint64 }[] = [];

	/** Sets the value before the first agent epoch and the first sequence number of workers that start from now on. */
	setWorkerCounters(value: Uint64): void {
		this.workerEnvironment.countersBefore = value;
	}

	private readonly workerEnvironment: WorkerEnvironment = {
		heartbeatIntervalS: 1,
		leaseS: 10,
		nodes: [],
		countersBefore: 0,
		leaseRenewed: (worker, sentAt) => this.checkLeaseRenewal(worker, sentAt),
		attemptStarted: (task, attempt) => this.startedAttempts.push({ task, attempt }),
		runSeconds: (task) => {
			const [id, index] = task.split("/") as [string, string];
			const runs = this.jobs.get(id)?.runS ?? null;
			return Array.isArray(runs) ? (runs[Number(index)] ?? null) : runs;
		},
		failsTask: (worker, task) =>
			this.jobs.get(task.split("/")[0] as string)?.failsOnTypes.includes(worker.machineType) ?? false,
		taskStarted: (worker, task) => this.tasks.recordStart(worker, task),
		taskEnded: (worker, task) => this.tasks.recordEnd(worker, task),
		sendHeartbeat: (worker, node, body) => this.sendHeartbeat(worker, node, body),
	};

	// --- controllers ---

	start(node: string): void {
		if (this.processes.has(node)) return;
		this.incarnation += 1;
		const id = `${node}#${this.incarnation}`;
		const { nodes, forwarding, nextLimitsAnnounced, platformOverrides } = this;
		const settings = parsePlatformSettings(
			"test settings",
			platformSettingsText({ node, nodes, forwarding, nextLimitsAnnounced, ...platformOverrides }),
		);
		const logAt =
			(level: string) =>
			(fields: object, message: string): void => {
				if (level !== "debug") this.logs.push(`${this.time.now()} ${id} ${message} ${stringifyJson(fields)}`);
			};
		const log: Log = { error: logAt("error"), info: logAt("info"), debug: logAt("debug") };
		const executor = new PausableExecutor();
		const clock = executor.clock(this.time);
		const store = executor.caller(
			this.network.caller(
				id,
				"state",
				this.withLateCopies("store request", (m, p, b) => this.state.handle(m, p, b, node)),
			),
		);
		const operator = defaultOperatorSettings();
		operator.team_quota.enabled = this.teamQuota;
		const incarnation = `inc${this.incarnation}`;
		const storeClient = new StoreClient({
			http: store,
			clock,
			requestsPerS: 300,
			writesPerS: 60,
			controllers: this.nodes.length,
		});
		const ports: ControllerPorts = {
			store: storeClient,
			cloud: new CloudClient(
				executor.caller(
					this.network.caller(
						id,
						"cloud",
						this.withLateCopies("cloud request", (m, p, b) => this.cloud.handle(m, p, b)),
					),
				),
				clock,
				5,
			),
			workers: new WorkerClient((endpoint) => {
				const host = endpoint.split(":")[0] as string;
				const caller = this.network.caller(
					id,
					host,
					this.withLateCopies("direct command", (_method, _path, body) =>
						this.deliverCommands(host, body as Record<string, unknown>),
					),
				);
				return executor.caller(caller);
			}),
			peers: { send: (to, message) => this.sendPeerMessage(id, node, to, message) },
			clock,
			memory: { heapLimitBytes: this.heapLimitBytes, heapUsedBytes: () => 0 },
			log,
			random: xoroshiro128plus(this.incarnation),
			schedule: queueMicrotask,
			createTeamQuota: (post) =>
				createTeamQuota({
					platform: settings,
					operator,
					incarnation,
					store: storeClient,
					clock: clock,
					log,
					post,
				}),
		};
		const controller = createController({ platform: settings, operator, incarnation, ports });
		const app = publicApi(
			{
				submit: (spec) => controller.jobs.submit(spec),
				status: (job) => controller.jobs.status(job),
				cancel: (job) => controller.jobs.cancel(job),
				handleHeartbeat: (heartbeat) => controller.handleHeartbeat(heartbeat),
				ready: () => controller.ready(),
			},
			log,
		);
		const workerConnections = new WorkerConnections();
		this.processes.set(node, { id, controller, app, executor, workerConnections, unnamed: null });
		controller.start();
	}

	/**
	 * Ends the process without a signal; none of its pending messages is delivered. Workers that wait for its response
	 * time out, or with `connectionsResetOnCrash` see their connection reset.
	 */
	crash(node: string): void {
		const process = this.processes.get(node);
		if (!process) return;
		this.network.setDown(process.id, true);
		process.controller.stop();
		this.processes.delete(node);
		if (this.connectionsResetOnCrash) process.workerConnections.resetAll();
	}

	/** Makes the current process of the node exchange messages as a version up to 0.8.0 does. */
	useUnnamedProcess(node: string): void {
		const process = this.processes.get(node);
		if (process) process.unnamed = new UnnamedProcess();
	}

	/** Ends the process and starts the next one of the node at once. */
	restart(node: string): void {
		this.crash(node);
		this.start(node);
	}

	/** Pauses the process, while its clocks run on. */
	pauseProcess(node: string): void {
		this.processes.get(node)?.executor.pause();
	}

	resumeProcess(node: string): void {
		this.processes.get(node)?.executor.resume();
	}

	controllerOf(node: string): Controller {
		const process = this.processes.get(node);
		if (!process) throw new Error(`${node} is down`);
		return process.controller;
	}

	/** True if the node has a process. */
	isUp(node: string): boolean {
		return this.processes.has(node);
	}

	/** Returns the term in which the node's process leads; 0: it does not lead. */
	termOf(node: string): number {
		return Number(this.controllerOf(node).clusterState?.term ?? 0);
	}

	ready(node: string): boolean {
		return this.processes.get(node)?.controller.ready() ?? false;
	}

	/** Returns a handler that also gets late copies of requests that change something. */
	private withLateCopies(kind: CopiedMessage, handler: Handler): Handler {
		return (method, path, body, from) => {
			if (method !== "GET") this.lateCopies?.consider(kind, () => void handler(method, path, body, from));
			return handler(method, path, body, from);
		};
	}

	private sendPeerMessage(fromId: string, from: string, to: string, message: unknown): void {
		const sender = this.processes.get(from)?.unnamed;
		const bytes = encodeFrame(sender ? sender.outgoing(message as PeerMessageOnWire) : message);
		this.lateCopies?.consider("controller message", () => this.deliverPeerMessage(from, to, bytes));
		this.time.after(2, () => {
			if (this.network.isDown(fromId) || this.peerIsolatedNodes.has(from) || this.peerIsolatedNodes.has(to))
				return;
			this.deliverPeerMessage(from, to, bytes);
		});
	}

	private deliverPeerMessage(from: string, to: string, bytes: Buffer): void {
		const process = this.processes.get(to);
		for (const m of new FrameReader().push(bytes)) {
			const received = process?.unnamed ? process.unnamed.incoming(m as PeerMessageOnWire) : m;
			process?.executor.runOrQueue(() => process.controller.receivePeerMessage(from, received));
		}
	}

	/** Cuts a controller off from the other controllers only. */
	setPeerIsolation(node: string, isolated: boolean): void {
		if (isolated) this.peerIsolatedNodes.add(node);
		else this.peerIsolatedNodes.delete(node);
	}

	/** Returns the node in the leader key of the store. */
	leaderNode(): string | null {
		const row = this.state.rows.get("r/one/leader");
		return row ? (row.v as { node: string }).node : null;
	}

	// --- workers ---

	private async sendHeartbeat(worker: FakeWorker, node: string, body: Record<string, unknown>) {
		const sentBody = stringifyJson(body);
		for (const seconds of this.duplicateHeartbeatsAfterS)
			this.time.after(seconds * 1000, () => this.deliverHeartbeatCopy(node, sentBody));
		this.lateCopies?.consider("heartbeat", () => this.deliverHeartbeatCopy(node, sentBody));
		this.lateCopies?.keepForNextLeader(() => this.deliverHeartbeatCopy(this.leaderNode() ?? node, sentBody));
		return new Promise<HttpResponse | undefined>((resolve) => {
			this.time.after(4000, () => resolve(undefined));
			const process = this.processes.get(node);
			if (!process) {
				this.time.after(2, () => resolve({ status: 0, body: {} }));
				return;
			}
			const closeConnection = process.workerConnections.add(() =>
				this.time.after(2, () => resolve({ status: 0, body: {} })),
			);
			const fault = this.network.faultFor(worker.host, node, "POST", "/v1/report");
			if (fault.dropRequest) return;
			if (Buffer.byteLength(sentBody) > maxBodyBytes)
				this.violations.push(`heartbeat of ${worker.host} has ${Buffer.byteLength(sentBody)} bytes`);
			this.time.after(2 + (fault.delayMs ?? 0), () => {
				const current = this.processes.get(node);
				current?.executor.runOrQueue(async () => {
					const result = await current.controller.handleHeartbeat(parseHeartbeat(sentBody));
					closeConnection();
					if (fault.dropResponse || this.network.isDown(current.id)) return;
					const response: HttpResponse =
						result.kind === "commands"
							? { status: 200, body: heartbeatResponseBody(result.fencingToken, result.commands) }
							: { status: 421, body: redirectBody(result.node) };
					const text = stringifyJson(response);
					if (Buffer.byteLength(text) > maxBodyBytes)
						this.violations.push(`response to ${worker.host} has ${Buffer.byteLength(text)} bytes`);
					const responseDelayMs = 2 + (fault.responseDelayMs ?? 0);
					this.time.after(responseDelayMs, () => resolve(parseJson(text) as HttpResponse));
				});
			});
		});
	}

	/** Delivers a late copy of a heartbeat; nobody receives the response to it. */
	private deliverHeartbeatCopy(node: string, body: string): void {
		const process = this.processes.get(node);
		process?.executor.runOrQueue(() => void process.controller.handleHeartbeat(parseHeartbeat(body)));
	}

	private deliverCommands(host: string, body: Record<string, unknown>): Promise<HttpResponse> {
		const worker = this.workers.get(host);
		if (!worker || worker.terminated || worker.partitioned || worker.inboundDropped)
			return new Promise<HttpResponse>(() => {});
		return worker.receiveCommands(body);
	}

	/**
	 * Checks that every leader of the worker's token or a later one counts the lease from the sending of the answered
	 * heartbeat or from a later time.
	 */
	private checkLeaseRenewal(worker: FakeWorker, sentAt: number): void {
		for (const { id, controller } of this.processes.values()) {
			const { clusterState } = controller;
			const agent = clusterState?.machines.get(worker.host)?.agent;
			if (!clusterState || !agent || clusterState.term < worker.fencingToken) continue;
			if (agent.lastResponseAt >= sentAt) continue;
			const shortMs = Math.round(sentAt - agent.lastResponseAt);
			this.violations.push(`lease: ${id} counts the lease of ${worker.host} ${shortMs} ms too short`);
		}
	}

	workerOf(task: string): FakeWorker {
		const worker = this.workers.get(this.tasks.machineOf(task) ?? "");
		if (!worker) throw new Error(`${task} is on no machine`);
		return worker;
	}

	isRunning(task: string): boolean {
		return this.tasks.machineOf(task) !== undefined;
	}

	private checkWaitingPeriodically(): void {
		this.time.after(1000, () => {
			const faultsActive =
				this.linkFaultsActive ||
				this.state.outage ||
				this.state.unavailableTo.size > 0 ||
				this.cloud.outage ||
				this.peerIsolatedNodes.size > 0 ||
				this.processes.size === 0;
			this.tasks.checkWaiting(faultsActive);
			this.checkWaitingPeriodically();
		});
	}

	/** Checks that no task of a job runs 37 s (`cancel_s`) after its cancellation; also called at the end of a trace. */
	checkCancelled(): void {
		this.tasks.checkCancelled();
	}

	/** Returns the number of running tasks of the job. */
	runningTaskCount(job: string): number {
		return this.tasks.runningTaskCount(job);
	}

	private recordCancellation(job: TrackedJob): void {
		if (job.cancelledAt !== null) return;
		job.cancelledAt = this.time.now();
		this.time.after(37_001, () => this.checkCancelled());
	}

	// --- users ---

	/** Checks that without active faults a controller finds every accepted job within 75 s, each job separately. */
	async checkAllJobsFound(): Promise<void> {
		for (const [id, job] of this.jobs) {
			if (job.reportedStatuses.size === 0) continue;
			const until = this.time.now() + 75_000;
			let found = false;
			while (!found && this.time.now() < until) {
				for (const node of this.processes.keys()) found ||= (await this.poll(node, id)).status === 200;
				if (!found) await this.time.advance(1000);
			}
			if (!found) this.violations.push(`forgotten: no controller found ${id}`);
		}
	}

	async request(
		node: string,
		path: string,
		init?: RequestInit,
	): Promise<{ status: number; body: UserResponse }> {
		const process = this.processes.get(node);
		if (!process) return { status: 0, body: {} };
		let result: { status: number; body: UserResponse } | null = null;
		process.executor.runOrQueue(() => {
			Promise.resolve(process.app.request(path, init)).then(async (response) => {
				result = { status: response.status, body: (await response.json()) as UserResponse };
			});
		});
		for (let waited = 0; result === null && waited < 5000; waited += 10) await this.time.advance(10);
		return result ?? { status: 0, body: {} };
	}

	/** Sends requests to several nodes at the same time; each response is checked when it arrives. */
	async requestConcurrently(
		requests: { node: string; id: string; kind: "poll" | "cancel" | "resubmit" }[],
	): Promise<number[]> {
		const statuses: number[] = requests.map(() => 0);
		requests.forEach(({ node, id, kind }, i) => {
			const process = this.processes.get(node);
			const body = JSON.stringify(this.jobs.get(id)?.body);
			const [path, init] = {
				poll: [`/v1/jobs/${id}`, {}],
				cancel: [`/v1/jobs/${id}/abort`, { method: "POST" }],
				resubmit: ["/v1/jobs", { method: "POST", body }],
			}[kind] as [string, RequestInit];
			process?.executor.runOrQueue(() => {
				Promise.resolve(process.app.request(path, init)).then(async (response) => {
					statuses[i] = response.status;
					const userResponse = (await response.json()) as UserResponse;
					if (response.status === 200) this.recordStatus(id, userResponse.status ?? "");
					else if (response.status !== 503) this.violations.push(`${kind} of ${id}: ${response.status}`);
				});
			});
		});
		await this.time.advance(5000);
		return statuses;
	}

	/** Tracks a job that enters the store other than by a submission. */
	trackJob(job: JobBody): void {
		const body = { desk: "red", loaners: true, ...job };
		this.jobs.set(job.id, {
			body,
			runS: job.run_s ?? 5,
			failsOnTypes: [],
			cancelledAt: null,
			reportedStatuses: new Set(),
		});
	}

	async submit(node: string, job: JobBody): Promise<{ status: number; body: UserResponse }> {
		const {
			run_s: runS = job.form === "standing" ? 1e6 : 5,
			fails_on_types: failsOnTypes = [],
			...submitted
		} = job;
		const body = {
			lane: "test",
			desk: "red",
			form: "array",
			urgency: "normal",
			accelerators: 0,
			ram_gb: 1,
			shapes: null,
			hall: null,
			one_zone: false,
			spread: false,
			loaners: true,
			bundle: "img",
			image_gb: 1,
			guess_s: submitted.form === "standing" ? 0 : Array.isArray(runS) ? Math.max(...runS) : runS,
			bookmark_s: 0,
			bookmark_cost_s: 0,
			due_s: null,
			...submitted,
		};
		const tracked = this.jobs.get(job.id);
		if (!tracked)
			this.jobs.set(job.id, { body, runS, failsOnTypes, cancelledAt: null, reportedStatuses: new Set() });
		const response = await this.request(node, "/v1/jobs", { method: "POST", body: JSON.stringify(body) });
		if (response.status === 200 || response.status === 201)
			this.recordStatus(job.id, response.body.status ?? "");
		return response;
	}

	async poll(node: string, id: string): Promise<{ status: number; body: UserResponse }> {
		const response = await this.request(node, `/v1/jobs/${id}`);
		if (response.status === 200) this.recordStatus(id, response.body.status ?? "");
		if (response.status === 404 && (this.jobs.get(id)?.reportedStatuses.size ?? 0) > 0)
			this.violations.push(`forgotten: ${id}`);
		return response;
	}

	async cancel(node: string, id: string): Promise<{ status: number; body: UserResponse }> {
		const response = await this.request(node, `/v1/jobs/${id}/abort`, { method: "POST" });
		if (response.status === 200) this.recordStatus(id, response.body.status ?? "");
		return response;
	}

	private recordStatus(id: string, status: string): void {
		const job = this.jobs.get(id);
		if (!job) return void this.violations.push(`invented: ${id}`);
		for (const finalStatus of ["done", "cancelled"]) {
			if (job.reportedStatuses.has(finalStatus) && status !== finalStatus)
				this.violations.push(`went_back: ${id} ${finalStatus} then ${status}`);
		}
		job.reportedStatuses.add(status);
		if (status === "cancelled") this.recordCancellation(job);
		if (status !== "done") return;
		for (let i = 0; i < job.body.pieces; i++) {
			if (!this.tasks.isDone(`${id}/${i}`)) this.violations.push(`not_done: ${id}/${i}`);
		}
	}
}
