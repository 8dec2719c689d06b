import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Amount } from "../../src/amount.js";
import type { Charge } from "../../src/charges.js";
import type { AllotmentManager } from "../../src/manager.js";
import { unpackValue } from "../../src/packed-record.js";
import type { LimitTerms } from "../../src/record.js";
import type { QuotaStore, QuotaWriteResult, StoredChange, StoredCondition } from "../../src/stored-values.js";
import { TeamQuota } from "../../src/team-quota.js";
import type { QuotaTerms } from "../../src/terms.js";
import type { History } from "./history.js";

const prefix = "quota/";
const leaderKey = "leader";
const tickMs = 20;
const expiryMs = 600;

/** An admitted task, on its way from a holder to the leader, or running. */
interface Task {
	id: string;
	team: string;
	size: Amount;
	admittedAt: number;
	/** Time from which the task can no longer start, if it has not started. */
	voidAt: number;
	started: boolean;
	endedAt: number | null;
}

interface Process {
	node: string;
	incarnation: string;
	quota: TeamQuota;
	/** Rate of the process's monotonic clock, relative to simulated time. */
	rate: number;
	manager: AllotmentManager | null;
	charges: Map<string, Charge>;
	/** The latest term known to its holder, and the tasks that it has sent, with their batch numbers. */
	term: number;
	readonly sent: Map<Task, number>;
	frozen: (() => void)[] | null;
	ended: boolean;
}

export interface Weather {
	/** Fraction of messages that are lost, and of writes that get no answer and may be executed late. */
	lost: number;
	lostWrites: number;
	mostDelayMs: number;
}

/**
 * Several controllers in simulated time, with a store and links that fail. Nothing but the allotments
 * enforces limits. The election is assumed to be correct: there is one leader at a time.
 */
export class SimulatedCluster {
	now = 0;
	readonly processes = new Map<string, Process>();
	readonly history: History = { tasks: [], refusals: [], limits: [], staleMs: 3000 };
	longestWaitMs = 0;
	outage = false;
	weather: Weather = { lost: 0, lostWrites: 0, mostDelayMs: 3 };
	storeWrites = 0;
	readonly logs: string[] = [];
	private readonly tasks = new Map<string, Task>();
	private readonly rows = new Map<string, { value: unknown; revision: number }>();
	private revision = 0;
	private readonly events: { at: number; order: number; run: () => void }[] = [];
	private order = 0;
	private leader: Process | null = null;
	private term = 0;
	private made = 0;
	private readonly random;
	private readonly waitingSince = new Map<string, number>();

	constructor(
		seed: number,
		readonly nodes: string[],
		private readonly teams: Map<string, LimitTerms>,
		/** Returns the task that a node requests at each of its turns. */
		private readonly appetite: (node: string) => { team: string; size: Amount; runMs: number } | null,
	) {
		this.random = xoroshiro128plus(seed);
		for (const node of nodes) this.start(node);
	}

	int(from: number, to: number): number {
		return uniformInt(this.random, from, to);
	}

	chance(part: number): boolean {
		return this.int(0, 9999) < part * 10_000;
	}

	// --- time ---

	after(ms: number, run: () => void): void {
		this.order += 1;
		this.events.push({ at: this.now + ms, order: this.order, run });
	}

	async run(ms: number): Promise<void> {
		const until = this.now + ms;
		for (;;) {
			this.events.sort((a, b) => b.at - a.at || b.order - a.order);
			const next = this.events.at(-1);
			if (!next || next.at > until) break;
			this.events.pop();
			this.now = Math.max(this.now, next.at);
			next.run();
			for (let i = 0; i < 8; i++) await Promise.resolve();
		}
		this.now = until;
	}

	// --- processes ---

	start(node: string): void {
		this.made += 1;
		const incarnation = `p${this.made}`;
		const rate = 1 + this.int(-500, 500) / 1_000_000;
		const offset = this.int(0, 1_000_000);
		const now = () => offset + this.now * rate;
		const log = (fields: object, message: string) =>
			this.logs.push(`${this.now} ${node} ${message} ${JSON.stringify(fields)}`);
		const process: Process = {
			node,
			incarnation,
			rate,
			manager: null,
			charges: new Map(),
			term: -1,
			sent: new Map(),
			frozen: null,
			ended: false,
			quota: new TeamQuota({
				node,
				incarnation,
				nodes: this.nodes,
				teams: this.teams,
				settings: { expiryMs, marginMs: 20, movePauseMs: 100 },
				prefix,
				mostBytes: 2000,
				mostChanges: 4,
				store: this.storeFor(),
				now,
				date: () => this.now,
				post: (command) => this.pass(process, command),
				log: { info: log, error: log },
			}),
		};
		this.processes.set(node, process);
		for (const [key, row] of this.rows) process.quota.stored(key, row.value, row.revision);
		this.turn(process);
	}

	private pass(process: Process, run: () => void): void {
		if (process.frozen) process.frozen.push(run);
		else if (!process.ended) run();
	}

	private turn(process: Process): void {
		if (process.ended) return;
		this.pass(process, () => this.work(process));
		this.after(this.int(1, tickMs), () => this.turn(process));
	}

	end(node: string): void {
		const process = this.processes.get(node);
		if (!process) return;
		process.ended = true;
		this.processes.delete(node);
		if (this.leader === process) this.leader = null;
	}

	freeze(node: string): void {
		const process = this.processes.get(node);
		if (process) process.frozen ??= [];
	}

	thaw(node: string): void {
		const process = this.processes.get(node);
		const held = process?.frozen ?? [];
		if (process) process.frozen = null;
		for (const run of held) run();
	}

	/** Makes the node's process the leader; the previous leader loses its authority. */
	elect(node: string): void {
		const process = this.processes.get(node);
		if (!process || process.frozen) return;
		this.leader?.quota.endTerm();
		this.revision += 1;
		this.term = this.revision;
		this.rows.set(leaderKey, { value: node, revision: this.term });
		this.leader = process;
		const manager = process.quota.beginTerm({ key: leaderKey, revision: this.term });
		process.manager = manager;
		process.charges = new Map();
		process.term = this.term;
		for (const task of process.sent.keys()) task.voidAt = Math.min(task.voidAt, this.now);
		process.sent.clear();
		// The new leader finds the running tasks after a delay.
		this.after(this.int(5, 60), () => {
			if (this.leader !== process || process.manager !== manager) return;
			for (const task of this.tasks.values())
				if (task.started && task.endedAt === null)
					process.charges.set(task.id, manager.chargeFound(task.team, task.size));
			manager.start();
		});
	}

	get leaderNode(): string | null {
		return this.leader?.node ?? null;
	}

	// --- admissions ---

	private work(process: Process): void {
		const leads = this.leader === process;
		if (leads) this.lead(process);
		const wish = this.appetite(process.node);
		if (wish) this.ask(process, wish, leads);
	}

	private lead(process: Process): void {
		process.manager?.tick();
		for (const node of this.nodes) {
			const terms = process.manager?.termsFor(node);
			const { term } = this;
			if (terms) this.send(node, (to) => this.tell(to, term, JSON.parse(JSON.stringify(terms))));
		}
	}

	/** Delivers an update. Tasks of batches that the holder drops now can no longer start, unless they have. */
	private tell(to: Process, term: number, terms: QuotaTerms): void {
		const before = to.term;
		to.quota.takeTerms(term, terms);
		if (terms.incarnation !== to.incarnation || term < before) return;
		to.term = term;
		for (const [task, batch] of to.sent) {
			if (term === before && batch > terms.settledBatch) continue;
			to.sent.delete(task);
			task.voidAt = Math.min(task.voidAt, this.now);
		}
	}

	private ask(process: Process, wish: { team: string; size: Amount; runMs: number }, leads: boolean): void {
		const { team, size, runMs } = wish;
		const task: Task = {
			id: `t${this.tasks.size}`,
			team,
			size,
			admittedAt: this.now,
			voidAt: Number.POSITIVE_INFINITY,
			started: false,
			endedAt: null,
		};
		if (leads) {
			process.manager?.want(process.node, team, { cpus: size.cpus * 4, gpus: size.gpus * 4 });
			if (!process.manager?.mayStart(process.node, team, size)) {
				this.waits(process.node, team);
				return;
			}
			this.admitted(process.node, task);
			process.charges.set(task.id, process.manager.charges.add(team, process.node, size));
			this.begin(task, runMs);
			return;
		}
		const admission = process.quota.admit(team, size);
		if (admission.kind === "admitted") {
			// For the history only: the time of expiry in simulated time. Infinity if the validity is
			// already past.
			const validMs = (process.quota.validUntil - process.quota.clock()) / process.rate;
			task.voidAt = validMs > 0 ? this.now + validMs : Number.POSITIVE_INFINITY;
			this.admitted(process.node, task);
			process.sent.set(task, process.quota.closeBatch());
		} else {
			this.waits(process.node, team);
			if (admission.reason === "team at its limit")
				this.history.refusals.push({ team, size: [size.cpus, size.gpus], at: this.now });
		}
		this.propose(process, admission.kind === "admitted" ? task : null, wish);
	}

	private waits(node: string, team: string): void {
		const key = `${node}/${team}`;
		if (!this.waitingSince.has(key)) this.waitingSince.set(key, this.now);
	}

	private admitted(node: string, task: Task): void {
		this.tasks.set(task.id, task);
		const key = `${node}/${task.team}`;
		this.longestWaitMs = Math.max(this.longestWaitMs, this.now - (this.waitingSince.get(key) ?? this.now));
		this.waitingSince.delete(key);
	}

	private propose(
		process: Process,
		task: Task | null,
		wish: { team: string; size: Amount; runMs: number },
	): void {
		const more = { cpus: wish.size.cpus * 4, gpus: wish.size.gpus * 4 };
		const reply = process.quota.reply([{ team: wish.team, amount: more }]);
		if (!this.leader) return;
		this.send(this.leader.node, (to) => {
			if (to !== this.leader) return;
			const counts = to.quota.heard(process.node, JSON.parse(JSON.stringify(reply)));
			if (!task) return;
			const starts = counts && to.manager?.mayStart(process.node, task.team, task.size) === true;
			if (starts && to.manager) {
				to.charges.set(task.id, to.manager.charges.add(task.team, process.node, task.size));
				this.begin(task, wish.runMs);
			} else task.voidAt = Math.min(task.voidAt, this.now);
		});
	}

	private begin(task: Task, runMs: number): void {
		task.started = true;
		this.after(runMs, () => {
			task.endedAt = this.now;
			const leader = this.leader;
			if (!leader) return;
			this.pass(leader, () => {
				const charge = leader.charges.get(task.id);
				if (charge && this.leader === leader) leader.manager?.charges.release(charge);
			});
		});
	}

	private send(node: string, deliver: (to: Process) => void): void {
		if (this.chance(this.weather.lost)) return;
		const copies = this.chance(this.weather.lost / 2) ? 2 : 1;
		for (let i = 0; i < copies; i++) {
			this.after(this.int(1, this.weather.mostDelayMs), () => {
				const to = this.processes.get(node);
				if (to) this.pass(to, () => deliver(to));
			});
		}
	}

	// --- the store ---

	private storeFor(): QuotaStore {
		const served = () => {
			if (this.outage) throw new Error("out");
		};
		return {
			read: async (key) => {
				served();
				const row = this.rows.get(key);
				return row ? { key, ...row } : null;
			},
			rows: async (wanted) => {
				served();
				return [...this.rows]
					.filter(([key]) => key.startsWith(wanted))
					.map(([key, row]) => ({ key, ...row }));
			},
			transact: async (conditions, changes) => {
				served();
				if (!this.chance(this.weather.lostWrites)) return this.transact(conditions, changes);
				// The write is executed now, later or never, and gets no answer in any case.
				if (this.chance(0.7)) this.after(this.int(0, 400), () => void this.transact(conditions, changes));
				throw new Error("no answer");
			},
		};
	}

	private transact(conditions: StoredCondition[], changes: StoredChange[]): QuotaWriteResult {
		const keys = conditions
			.filter(({ key, revision }) => (this.rows.get(key)?.revision ?? 0) !== revision)
			.map(({ key }) => key);
		if (keys.length > 0) return { kind: "conflict", keys };
		this.revision += 1;
		this.storeWrites += 1;
		for (const { key, value } of changes) this.write(key, value, this.revision);
		return { kind: "written", revision: this.revision };
	}

	private write(key: string, value: unknown, revision: number): void {
		this.rows.set(key, { value, revision });
		const { records, faults } = unpackValue(value);
		if (faults.length > 0) throw new Error(`written: ${JSON.stringify(faults)}`);
		for (const { team, inForce } of records.values()) {
			const { limit, guarantee } = inForce;
			this.history.limits.push({
				team,
				at: this.now,
				limit: [limit.cpus, limit.gpus],
				guarantee: [guarantee.cpus, guarantee.gpus],
			});
		}
		for (const process of this.processes.values())
			this.after(this.int(1, 20), () => this.pass(process, () => process.quota.stored(key, value, revision)));
	}

	/** The store as an operator's command uses it. */
	get operatorStore(): QuotaStore {
		return this.storeFor();
	}

	spoil(key: string, value: unknown): void {
		this.revision += 1;
		this.rows.set(key, { value, revision: this.revision });
		const { revision } = this;
		for (const process of this.processes.values()) process.quota.stored(key, value, revision);
	}

	/** Returns the history in the form that the checker reads. */
	finished(): History {
		this.history.tasks = [...this.tasks.values()].map((task) => ({
			id: task.id,
			team: task.team,
			size: [task.size.cpus, task.size.gpus],
			admittedAt: task.admittedAt,
			endedAt: task.started ? task.endedAt : Math.max(task.admittedAt, Math.min(task.voidAt, this.now)),
		}));
		return this.history;
	}

	get admissions(): number {
		return [...this.tasks.values()].filter((task) => task.started).length;
	}
}
