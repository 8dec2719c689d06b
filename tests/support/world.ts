import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Controller } from "../../src/coordination/controller.js";
import { type ControllerPorts, createController } from "../../src/coordination/controller-composition.js";
import type { Clock } from "../../src/coordination/ports/clock.js";
import type { Log } from "../../src/coordination/ports/log.js";
import { heartbeatResponseBody, parseHeartbeat, redirectBody } from "../../src/protocol/http/worker-api.js";
import { defaultOperatorSettings } from "../../src/protocol/settings/operator.js";
import { parsePlatformSettings } from "../../src/protocol/settings/platform.js";
import { createTeamQuota } from "../../src/team-quota.js";
import { CloudClient } from "../../src/transport/clients/cloud-client.js";
import type { HttpCaller } from "../../src/transport/clients/http-client.js";
import type { HttpResponse } from "../../src/transport/clients/http-response.js";
import { StoreClient } from "../../src/transport/clients/store-client.js";
import { WorkerClient } from "../../src/transport/clients/worker-client.js";
import { encodeFrame, FrameReader } from "../../src/transport/peers/frame.js";
import { publicApi } from "../../src/transport/public/public-api.js";
import { FakeCloud } from "./cloud.js";
import { FakeTime } from "./fake-time.js";
import { FakeNetwork } from "./network.js";
import { StateService } from "./state-service.js";
import { FakeWorker, type WorkerWorld } from "./worker.js";

export interface JobBody {
	id: string;
	pieces: number;
	cores: number;
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
	/** Not on the wire: how long its tasks really run, all alike or one by one. */
	runs?: number | number[];
	/** Not on the wire: submitted with a mistake, so that its tasks fail on machines of these types. */
	fails_on?: string[];
}

/** What users read of an answer. */
export interface UserAnswer {
	status?: string;
	error?: string;
}

interface KnownJob {
	body: Record<string, unknown> & { pieces: number; cores: number };
	runs: number | number[];
	failsOn: string[];
	cancelledAt: number | null;
	told: Set<string>;
}

interface Process {
	id: string;
	controller: Controller;
	app: ReturnType<typeof publicApi>;
	gate: Gate;
}

/**
 * What a process does goes through here. While it stands still, its timers and all that
 * comes in pile up, though its clocks run on; when it goes on, they come in their order.
 */
class Gate {
	private held: (() => void)[] | null = null;

	pass(run: () => void): void {
		if (this.held) this.held.push(run);
		else run();
	}

	freeze(): void {
		this.held ??= [];
	}

	thaw(): void {
		const held = this.held ?? [];
		this.held = null;
		for (const run of held) run();
	}

	settled<T>(answer: Promise<T>): Promise<T> {
		return new Promise((resolve, reject) =>
			answer.then(
				(value) => this.pass(() => resolve(value)),
				(error) => this.pass(() => reject(error)),
			),
		);
	}

	time(time: Clock): Clock {
		return {
			now: () => time.now(),
			date: () => time.date(),
			after: (ms, run) => time.after(ms, () => this.pass(run)),
		};
	}

	caller(http: HttpCaller): HttpCaller {
		return {
			call: (method, path, body, deadlineMs) => this.settled(http.call(method, path, body, deadlineMs)),
			close: () => http.close(),
		};
	}
}

/** Most cores of each team; guests have neither guarantee nor limit. */
const teams: Record<string, number> = { red: 8, blue: 8, guest: Number.POSITIVE_INFINITY };
export const nodeNames = ["runner-0", "runner-1", "runner-2"];

/** With so small a share of a core any number of reports is many, and all controllers receive them. */
const tinyShare = "[cluster.resources]\ncores = 0.0005\n";

/** Limits that the state service may come to have in a trace. */
const nextLimits = "[cluster.state.next]\nvalue_kb = 0.6\ntxn_ops = 4\n";

interface SettingsParts {
	node: string;
	nodes: string[];
	relayed: boolean;
	nextKnown: boolean;
	state?: string;
}

/** The platform's settings file of a node. */
export function settingsText(parts: SettingsParts): string {
	const { node, nodes, relayed, nextKnown, state = "127.0.0.1:4" } = parts;
	const others = nodes
		.filter((n) => n !== node)
		.map((n) => `[[others]]\nnode = "${n}"\ndomain = "z"\naddr = "127.0.0.1:1"\n`);
	const teamText = Object.entries(teams).map(([name, most]) => {
		const cpus = Number.isFinite(most) ? most : 0;
		return `[[cluster.teams]]\nname = "${name}"\ncpus = ${cpus / 2}\ncpus_max = ${cpus}\n`;
	});
	return `node = "${node}"
domain = "z"
front = "127.0.0.1:1"
back = "127.0.0.1:2"
${others.join("\n")}
[endpoints]
cloud = "127.0.0.1:3"
state = "${state}"
[cluster]
nodes = ${nodes.length}
zones = ["a", "b"]
${teamText.join("\n")}
[cluster.workers]
report_s = 1.0
lease_s = 10.0
cancel_s = 37.0
[cluster.state]
rps = 300.0
write_rps = 60.0
value_kb = 16.0
txn_ops = 12
[cluster.cloud]
rps = 5.0
list_lag_s = 1.0
${relayed ? tinyShare : ""}${nextKnown ? nextLimits : ""}`;
}

/** Controllers, three if not said otherwise, between stand-ins of all that is around them, in fake time, with the rules watched. */
export class World {
	readonly time = new FakeTime();
	readonly network = new FakeNetwork(this.time);
	readonly state = new StateService(this.time);
	readonly cloud: FakeCloud;
	readonly workers = new Map<string, FakeWorker>();
	readonly jobs = new Map<string, KnownJob>();
	readonly broken: string[] = [];
	/** Starts of each task, in order. */
	readonly starts = new Map<string, string[]>();
	readonly logs: string[] = [];
	private readonly on = new Map<string, string>();
	private readonly finished = new Set<string>();
	private readonly processes = new Map<string, Process>();
	private readonly cutLinks = new Set<string>();
	private incarnation = 0;

	/** Seconds after which copies of every report arrive once more, at the node it was sent to. */
	copiesAfterS: number[] = [];

	/** Since when a job waits though something could run, troubles aside. */
	private readonly waitingSince = new Map<string, number>();
	/** By trace: troubles that no stand-in shows, such as faults on links. */
	troubled = false;
	/** Limits of teams that were changed, and when they were in force. */
	readonly changedLimits = new Map<string, number>();
	/** Whether processes that start from now on are told of the limits to come. */
	nextKnown = false;

	constructor(
		capacity = 4,
		readonly nodes: string[] = nodeNames,
		private readonly relayed = false,
		/** Whether processes that start from now on divide limits. */
		public teamQuota = false,
	) {
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
			up: (host) => {
				const worker = new FakeWorker(
					host.id,
					host.shape,
					host.hall,
					host.loaners,
					this.time,
					this.workerWorld,
				);
				this.workers.set(host.id, worker);
			},
			gone: (id) => this.workers.get(id)?.die(),
		});
		this.workerWorld.nodes.push(...nodes);
		for (const node of nodes) this.start(node);
		this.watchWaiting();
	}

	private readonly workerWorld: WorkerWorld = {
		reportS: 1,
		leaseS: 10,
		nodes: [],
		runSeconds: (piece) => {
			const [id, index] = piece.split("/") as [string, string];
			const runs = this.jobs.get(id)?.runs ?? null;
			return Array.isArray(runs) ? (runs[Number(index)] ?? null) : runs;
		},
		fails: (worker, piece) =>
			this.jobs.get(piece.split("/")[0] as string)?.failsOn.includes(worker.shape) ?? false,
		started: (worker, piece) => this.started(worker, piece),
		ended: (worker, piece) => this.ended(worker, piece),
		send: (worker, node, body) => this.sendReport(worker, node, body),
	};

	// --- controllers ---

	start(node: string): void {
		if (this.processes.has(node)) return;
		this.incarnation += 1;
		const id = `${node}#${this.incarnation}`;
		const { nodes, relayed, nextKnown } = this;
		const settings = parsePlatformSettings(
			"test settings",
			settingsText({ node, nodes, relayed, nextKnown }),
		);
		const note =
			(level: string) =>
			(fields: object, message: string): void => {
				if (level !== "debug")
					this.logs.push(`${this.time.now()} ${id} ${message} ${JSON.stringify(fields)}`);
			};
		const log: Log = { error: note("error"), info: note("info"), debug: note("debug") };
		const gate = new Gate();
		const time = gate.time(this.time);
		const store = gate.caller(
			this.network.caller(id, "state", (m, p, b) => this.state.handle(m, p, b, node)),
		);
		const operator = defaultOperatorSettings();
		operator.team_quota.enabled = this.teamQuota;
		const incarnation = `inc${this.incarnation}`;
		const storeClient = new StoreClient({
			http: store,
			clock: time,
			requestsPerS: 300,
			writesPerS: 60,
			controllers: this.nodes.length,
		});
		const ports: ControllerPorts = {
			store: storeClient,
			cloud: new CloudClient(
				gate.caller(this.network.caller(id, "cloud", (m, p, b) => this.cloud.handle(m, p, b))),
				time,
				5,
			),
			workers: new WorkerClient((endpoint) => {
				const host = endpoint.split(":")[0] as string;
				const caller = this.network.caller(id, host, (_m, _p, body) => {
					const worker = this.workers.get(host);
					if (!worker || worker.dead || worker.cut || worker.deaf) return new Promise<HttpResponse>(() => {});
					return worker.ordered(body as Record<string, unknown>);
				});
				return gate.caller(caller);
			}),
			peers: { send: (to, message) => this.peer(id, node, to, message) },
			clock: time,
			log,
			random: xoroshiro128plus(this.incarnation),
			schedule: queueMicrotask,
			createTeamQuota: (post) =>
				createTeamQuota({
					platform: settings,
					operator,
					incarnation,
					store: storeClient,
					clock: time,
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
				handleHeartbeat: (report) => controller.handleHeartbeat(report),
				ready: () => controller.ready(),
			},
			log,
		);
		this.processes.set(node, { id, controller, app, gate });
		controller.start();
	}

	/** Without a signal: nothing that the process would still say is heard. */
	crash(node: string): void {
		const process = this.processes.get(node);
		if (!process) return;
		this.network.setDown(process.id, true);
		process.controller.stop();
		this.processes.delete(node);
	}

	/** The process stands still; its clocks, and the world, go on. */
	freeze(node: string): void {
		this.processes.get(node)?.gate.freeze();
	}

	thaw(node: string): void {
		this.processes.get(node)?.gate.thaw();
	}

	controllerOf(node: string): Controller {
		const process = this.processes.get(node);
		if (!process) throw new Error(`${node} is down`);
		return process.controller;
	}

	ready(node: string): boolean {
		return this.processes.get(node)?.controller.ready() ?? false;
	}

	private peer(fromId: string, from: string, to: string, message: unknown): void {
		const bytes = encodeFrame(message);
		this.time.after(2, () => {
			if (this.network.isDown(fromId) || this.cutLinks.has(from) || this.cutLinks.has(to)) return;
			const process = this.processes.get(to);
			for (const m of new FrameReader().push(bytes))
				process?.gate.pass(() => process.controller.receivePeerMessage(from, m));
		});
	}

	/** Cuts a controller off from the other controllers only. */
	cutPeer(node: string, cut: boolean): void {
		if (cut) this.cutLinks.add(node);
		else this.cutLinks.delete(node);
	}

	/** The node whose process acts for the controllers, by the worker's view: the key in the store. */
	leaderNode(): string | null {
		const row = this.state.rows.get("r/one/leader");
		return row ? (row.v as { node: string }).node : null;
	}

	// --- workers ---

	private async sendReport(worker: FakeWorker, node: string, body: Record<string, unknown>) {
		const sent = JSON.stringify(body);
		for (const seconds of this.copiesAfterS) {
			this.time.after(seconds * 1000, () => {
				const process = this.processes.get(node);
				process?.gate.pass(() => void process.controller.handleHeartbeat(parseHeartbeat(sent)));
			});
		}
		return new Promise<HttpResponse | undefined>((resolve) => {
			this.time.after(4000, () => resolve(undefined));
			const process = this.processes.get(node);
			if (!process) {
				this.time.after(2, () => resolve({ status: 0, body: {} }));
				return;
			}
			const fault = this.network.fault(worker.host, node, "POST", "/v1/report");
			if (fault.cut) return;
			this.time.after(2 + (fault.delayMs ?? 0), () => {
				const now = this.processes.get(node);
				now?.gate.pass(async () => {
					const result = await now.controller.handleHeartbeat(parseHeartbeat(sent));
					if (fault.loseAnswer || this.network.isDown(now.id)) return;
					const answer: HttpResponse =
						result.kind === "commands"
							? { status: 200, body: heartbeatResponseBody(result.fencingToken, result.commands) }
							: { status: 421, body: redirectBody(result.node) };
					this.time.after(2, () => resolve(JSON.parse(JSON.stringify(answer)) as HttpResponse));
				});
			});
		});
	}

	workerOf(piece: string): FakeWorker {
		const worker = this.workers.get(this.on.get(piece) ?? "");
		if (!worker) throw new Error(`${piece} is on no machine`);
		return worker;
	}

	running(piece: string): boolean {
		return this.on.has(piece);
	}

	private started(worker: FakeWorker, piece: string): void {
		const id = piece.split("/")[0] as string;
		const job = this.jobs.get(id);
		this.starts.set(piece, [...(this.starts.get(piece) ?? []), worker.host]);
		if (!job) return void this.broken.push(`${piece} started, but nobody submitted ${id}`);
		const other = this.on.get(piece);
		if (other !== undefined) this.broken.push(`ran_twice: ${piece} on ${worker.host} while on ${other}`);
		const { body } = job;
		if (Array.isArray(body.shapes) && !body.shapes.includes(worker.shape))
			this.broken.push(`wrong_place: ${piece} type`);
		if (typeof body.hall === "string" && body.hall !== worker.hall)
			this.broken.push(`wrong_place: ${piece} zone`);
		if (worker.loaners && body.loaners !== true) this.broken.push(`wrong_place: ${piece} kind`);
		if (job.cancelledAt !== null && this.time.now() - job.cancelledAt > 37_000) {
			this.broken.push(`ran_cancelled: ${piece}`);
		}
		this.on.set(piece, worker.host);
		this.checkZones(id, body);
		this.checkQuota(String(body.desk));
	}

	/**
	 * Troubles over, no job waits for 90 s while a machine that fits has room and its team
	 * is under its limit. What counts is the machines themselves, not what a leader thinks of them.
	 */
	private watchWaiting(): void {
		this.time.after(1000, () => {
			const now = this.time.now();
			const troubled =
				this.troubled ||
				this.state.outage ||
				this.state.refused.size > 0 ||
				this.cloud.outage ||
				this.cutLinks.size > 0 ||
				this.processes.size === 0;
			for (const [id, job] of this.jobs) {
				if (troubled || !this.couldStart(id, job)) this.waitingSince.delete(id);
				else if (!this.waitingSince.has(id)) this.waitingSince.set(id, now);
				else if (now - (this.waitingSince.get(id) as number) > 90_000) {
					this.waitingSince.delete(id);
					this.broken.push(`waited: ${id} for 90 s, though a machine has room`);
				}
			}
			this.watchWaiting();
		});
	}

	/** Of an array nothing runs, or of a standing job some replicas do not, though they could. */
	private couldStart(id: string, { body, told, cancelledAt }: KnownJob): boolean {
		if (told.size === 0 || cancelledAt !== null) return false;
		const pieces = Array.from({ length: body.pieces }, (_, i) => `${id}/${i}`);
		if (body.form !== "standing" && pieces.some((piece) => this.on.has(piece))) return false;
		if (pieces.every((piece) => this.on.has(piece) || this.finished.has(piece))) return false;
		const used = this.coresUsed();
		const ofTeam = used.byTeam.get(String(body.desk)) ?? 0;
		if (ofTeam + body.cores > (teams[String(body.desk)] ?? 0)) return false;
		return [...this.workers].some(([host, worker]) => {
			const cores = this.cloud.types.find((t) => t.sku === worker.shape)?.cores ?? 0;
			const room = (used.byHost.get(host) ?? 0) + body.cores <= cores;
			return room && this.isUsable(host, worker) && this.isAllowed(id, body, worker);
		});
	}

	private coresUsed(): { byHost: Map<string, number>; byTeam: Map<string, number> } {
		const byHost = new Map<string, number>();
		const byTeam = new Map<string, number>();
		for (const [piece, host] of this.on) {
			const body = this.jobs.get(piece.split("/")[0] as string)?.body;
			if (!body) continue;
			byHost.set(host, (byHost.get(host) ?? 0) + body.cores);
			byTeam.set(String(body.desk), (byTeam.get(String(body.desk)) ?? 0) + body.cores);
		}
		return { byHost, byTeam };
	}

	private isUsable(host: string, worker: FakeWorker): boolean {
		return worker.well && worker.recallAt === null && this.cloud.hosts.has(host);
	}

	private isAllowed(id: string, body: KnownJob["body"], worker: FakeWorker): boolean {
		const zones = this.zonesOf(id);
		const others = [...zones.keys()].some((hall) => hall !== worker.hall);
		return (
			(!Array.isArray(body.shapes) || body.shapes.includes(worker.shape)) &&
			(typeof body.hall !== "string" || body.hall === worker.hall) &&
			(body.loaners === true || !worker.loaners) &&
			!(body.one_zone === true && others) &&
			!(body.spread === true && (zones.get(worker.hall) ?? 0) >= Math.ceil(body.pieces / 2))
		);
	}

	/** Tasks of the job that are on machines, by zone. */
	private zonesOf(id: string): Map<string, number> {
		const zones = new Map<string, number>();
		for (const [piece, host] of this.on) {
			if (!piece.startsWith(`${id}/`)) continue;
			const hall = this.workers.get(host)?.hall ?? "?";
			zones.set(hall, (zones.get(hall) ?? 0) + 1);
		}
		return zones;
	}

	private checkZones(id: string, body: KnownJob["body"]): void {
		const zones = this.zonesOf(id);
		if (body.one_zone === true && zones.size > 1) this.broken.push(`wrong_place: ${id} in two zones`);
		const most = Math.max(...zones.values());
		if (body.spread === true && most > Math.ceil(body.pieces / 2))
			this.broken.push(`wrong_place: ${id} not spread`);
	}

	private checkQuota(team: string): void {
		let used = 0;
		for (const piece of this.on.keys()) {
			const body = this.jobs.get(piece.split("/")[0] as string)?.body;
			if (body?.desk === team) used += body.cores;
		}
		if (used > (this.changedLimits.get(team) ?? teams[team] ?? 0) + 1e-9)
			this.broken.push(`quota: ${team} uses ${used}`);
	}

	/** Tasks of the job that run. */
	runningOf(job: string): number {
		return [...this.on.keys()].filter((piece) => piece.startsWith(`${job}/`)).length;
	}

	private ended(worker: FakeWorker, piece: string): void {
		if (this.on.get(piece) === worker.host) this.on.delete(piece);
		const done = worker.show().pieces as { piece: string; cause?: string }[];
		if (done.some((p) => p.piece === piece && p.cause === "done")) this.finished.add(piece);
	}

	/** A cancelled job's tasks must be gone; called at the end of a trace, and in time after each cancellation. */
	checkCancelled(): void {
		for (const piece of this.on.keys()) {
			const job = this.jobs.get(piece.split("/")[0] as string);
			if (job?.cancelledAt != null && this.time.now() - job.cancelledAt > 37_000) {
				this.broken.push(`ran_cancelled: ${piece} is still there`);
			}
		}
	}

	private noteCancelled(job: KnownJob): void {
		if (job.cancelledAt !== null) return;
		job.cancelledAt = this.time.now();
		this.time.after(37_001, () => this.checkCancelled());
	}

	// --- users ---

	/** Troubles over, every job that was accepted is answered for within 75 s, each for itself. */
	async checkKnown(): Promise<void> {
		for (const [id, job] of this.jobs) {
			if (job.told.size === 0) continue;
			const until = this.time.now() + 75_000;
			let known = false;
			while (!known && this.time.now() < until) {
				for (const node of this.processes.keys()) known ||= (await this.poll(node, id)).status === 200;
				if (!known) await this.time.advance(1000);
			}
			if (!known) this.broken.push(`forgotten: no answer about ${id}`);
		}
	}

	async request(
		node: string,
		path: string,
		init?: RequestInit,
	): Promise<{ status: number; body: UserAnswer }> {
		const process = this.processes.get(node);
		if (!process) return { status: 0, body: {} };
		let answer: { status: number; body: UserAnswer } | null = null;
		process.gate.pass(() => {
			Promise.resolve(process.app.request(path, init)).then(async (response) => {
				answer = { status: response.status, body: (await response.json()) as UserAnswer };
			});
		});
		for (let waited = 0; answer === null && waited < 5000; waited += 10) await this.time.advance(10);
		return answer ?? { status: 0, body: {} };
	}

	/** Requests of one moment to several nodes; each answer is told to the checker as it comes. */
	async together(
		requests: { node: string; id: string; kind: "poll" | "abort" | "repeat" }[],
	): Promise<number[]> {
		const statuses: number[] = requests.map(() => 0);
		requests.forEach(({ node, id, kind }, i) => {
			const process = this.processes.get(node);
			const body = JSON.stringify(this.jobs.get(id)?.body);
			const [path, init] = {
				poll: [`/v1/jobs/${id}`, {}],
				abort: [`/v1/jobs/${id}/abort`, { method: "POST" }],
				repeat: ["/v1/jobs", { method: "POST", body }],
			}[kind] as [string, RequestInit];
			process?.gate.pass(() => {
				Promise.resolve(process.app.request(path, init)).then(async (response) => {
					statuses[i] = response.status;
					const answer = (await response.json()) as UserAnswer;
					if (response.status === 200) this.tell(id, answer.status ?? "");
					else if (response.status !== 503) this.broken.push(`${kind} of ${id}: ${response.status}`);
				});
			});
		});
		await this.time.advance(5000);
		return statuses;
	}

	/** Makes a job known to the checker that comes into the store by another way. */
	expectJob(job: JobBody): void {
		const body = { desk: "red", loaners: true, ...job };
		this.jobs.set(job.id, { body, runs: job.runs ?? 5, failsOn: [], cancelledAt: null, told: new Set() });
	}

	async submit(node: string, job: JobBody): Promise<{ status: number; body: UserAnswer }> {
		const { runs = job.form === "standing" ? 1e6 : 5, fails_on: failsOn = [], ...given } = job;
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
			guess_s: given.form === "standing" ? 0 : Array.isArray(runs) ? Math.max(...runs) : runs,
			bookmark_s: 0,
			bookmark_cost_s: 0,
			due_s: null,
			...given,
		};
		const known = this.jobs.get(job.id);
		if (!known) this.jobs.set(job.id, { body, runs, failsOn, cancelledAt: null, told: new Set() });
		const answer = await this.request(node, "/v1/jobs", { method: "POST", body: JSON.stringify(body) });
		if (answer.status === 200 || answer.status === 201) this.tell(job.id, answer.body.status ?? "");
		return answer;
	}

	async poll(node: string, id: string): Promise<{ status: number; body: UserAnswer }> {
		const answer = await this.request(node, `/v1/jobs/${id}`);
		if (answer.status === 200) this.tell(id, answer.body.status ?? "");
		if (answer.status === 404 && (this.jobs.get(id)?.told.size ?? 0) > 0)
			this.broken.push(`forgotten: ${id}`);
		return answer;
	}

	async abort(node: string, id: string): Promise<{ status: number; body: UserAnswer }> {
		const answer = await this.request(node, `/v1/jobs/${id}/abort`, { method: "POST" });
		if (answer.status === 200) this.tell(id, answer.body.status ?? "");
		return answer;
	}

	private tell(id: string, status: string): void {
		const job = this.jobs.get(id);
		if (!job) return void this.broken.push(`invented: ${id}`);
		for (const final of ["done", "cancelled"]) {
			if (job.told.has(final) && status !== final)
				this.broken.push(`went_back: ${id} ${final} then ${status}`);
		}
		job.told.add(status);
		if (status === "cancelled") this.noteCancelled(job);
		if (status !== "done") return;
		for (let i = 0; i < job.body.pieces; i++) {
			if (!this.finished.has(`${id}/${i}`)) this.broken.push(`not_done: ${id}/${i}`);
		}
	}
}
