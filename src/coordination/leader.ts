import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { Attempt, Job } from "../bookkeeping/jobs.js";
import {
	Machine,
	machineAllowed,
	muchTooSlow,
	noteRun,
	type UnwantedTask,
	unknownType,
} from "../bookkeeping/machines.js";
import {
	demandOf,
	type FeaturesRecord,
	type FinalRecord,
	keys,
	type MachineRecord,
	pageName,
	pageOf,
	parseFinal,
} from "../bookkeeping/records.js";
import type { Replica } from "../bookkeeping/replica.js";
import { tasksPerPage } from "../bookkeeping/task-set.js";
import type { MachineType, Order, WorkerReport } from "../protocol/model.js";
import type { OperatorSettings } from "../protocol/operator.js";
import type { PeerMessage } from "../protocol/peer.js";
import type { Grant, Placement, ViewMachine } from "../protocol/placement.js";
import type { PlatformSettings } from "../protocol/settings.js";
import type { StoreChange, StoreCondition } from "../protocol/store-api.js";
import { Fleet } from "./fleet.js";
import { drift } from "./leadership.js";
import { servingOrder, starved } from "./ordering.js";
import { placerOf } from "./parting.js";
import { placeable, placeFirstFit, sampled, zoneRoom } from "./placing.js";
import {
	CallFailed,
	type CloudPort,
	type Log,
	type PeerPort,
	type StorePort,
	type TimePort,
	type WorkerPort,
} from "./ports.js";
import { chooseVictims } from "./preemption.js";
import { Presence } from "./presence.js";
import { type Applied, applyReport, type Outcome, ordersFor, stopsFor } from "./reports.js";
import { SharedRecords } from "./shared-records.js";
import { Tables } from "./tables.js";
import { Takeover } from "./takeover.js";

export interface LeaderPorts {
	store: StorePort;
	cloud: CloudPort;
	workers: WorkerPort;
	peers: PeerPort;
	time: TimePort;
	log: Log;
	post(command: () => void): void;
	random: RandomGenerator;
}

interface Outstanding {
	cycle: number;
	sentAt: number;
}

interface HeldReport {
	until: number;
	/** Held only in case work comes, not because a place is being filled. */
	idle: boolean;
	answer(orders: Order[] | null): void;
}

const expiryMarginMs = 500;
const progressEveryMs = 1000;
const ledgerEveryMs = 150;
const auditEveryMs = 10_000;
const answerHoldMs = 150;
const holdSweepMs = 30;
/** With ticks later than this on the average, the process is short of processor time. */
const busyMs = 40;
/** A job that its placer does not know is placed by the leader for so long. */
const placedHereMs = 5000;
const idleHoldMs = 1500;
const preemptEveryMs = 500;
const movesEveryMs = 300;
/** A replica that has run for so long has started well. */
const steadyMs = 30_000;
/** Replicas of a job move one after the other, unless a machine is taken as soon as this. */
const hurryMs = 15_000;
/** So long a job keeps off machines on which it failed. */
const avoidMs = 20_000;
/** How often `tick` is called. */
export const tickMs = 100;
const preemptAfterMs = 700;
/** A task is given up on a machine about to be taken if it needs this many times what is left. */
const hopelessFactor = 1.3;

/** One term of leadership: tables, orders, placing, scaling. Everything here runs in the queue. */
export class Leader {
	readonly tables: Tables;
	private readonly fleet: Fleet;
	private ended = false;
	private cycle = 0;
	private nextCycle = 0;
	private readonly outstanding = new Map<string, Outstanding>();
	private readonly held = new Map<string, HeldReport>();
	private sweeping = false;
	/** Machines with starts decided and not yet sent. */
	private readonly assigned = new Set<Machine>();
	/** Whether a task waits that may start, as found out in this batch; null: not looked yet. */
	private waitingNow: boolean | null = null;
	private readonly presence: Presence;
	private readonly takeover: Takeover;
	private lateMs = 0;
	private lastTick: number;
	private readonly beganAt: number;
	private rebuiltSaid = false;
	private nextPreemption = 0;
	private nextProgress = 0;
	private nextAudit = 0;
	private recordingFeatures = false;
	private nextMoves = 0;
	/** Jobs whose end is being read, or was. */
	private readonly lookingUp = new Set<string>();
	private readonly leaseMs: number;
	private readonly ledger: SharedRecords<MachineRecord>;
	private readonly progress: SharedRecords<string>;

	constructor(
		readonly epoch: number,
		private readonly self: string,
		private readonly platform: PlatformSettings,
		private readonly settings: OperatorSettings,
		private readonly replica: Replica,
		types: MachineType[],
		private readonly ports: LeaderPorts,
		private readonly authority: () => boolean,
		served: () => boolean,
		private readonly resign: (why: string) => void,
		requestPrefix: string,
	) {
		const { cluster } = platform;
		this.leaseMs = cluster.workers.lease_s * 1000;
		const certainMs = this.leaseMs * (1 + 2 * drift) + expiryMarginMs;
		const byName = new Map(types.map((t) => [t.name, t]));
		this.tables = new Tables(epoch, cluster.teams, byName, certainMs, (job) => replica.demandOf(job));
		this.fleet = new Fleet({
			tables: this.tables,
			cloud: ports.cloud,
			time: ports.time,
			settings,
			listLagMs: cluster.cloud.list_lag_s * 1000,
			leaseMs: this.leaseMs,
			requestPrefix,
			hooks: { post: ports.post, authority: () => this.active, gone: (m) => this.machineGone(m) },
			log: ports.log,
		});
		this.beganAt = ports.time.now();
		this.lastTick = this.beganAt;
		this.presence = new Presence(
			epoch,
			this.beganAt,
			platform,
			settings,
			this.tables,
			ports.peers,
			served,
			resign,
			ports.log,
		);
		this.takeover = new Takeover(
			this.tables,
			ports.workers,
			this.beganAt,
			{
				post: ports.post,
				active: () => this.active,
				ended: () => this.ended,
				apply: (report) => this.apply(report),
				unlisted: (id) => this.fleet.unlisted(id),
			},
			ports.log,
		);
		const shared = {
			post: ports.post,
			now: () => ports.time.now(),
			lostKey: () => this.lostKey(),
			failed: (error: unknown) => ports.log.debug({ err: String(error) }, "records not written"),
			tooLarge: (tooLarge: string[], mostBytes: number) =>
				ports.log.error({ keys: tooLarge, mostBytes }, "the state service refuses values: made smaller"),
		};
		const mostBytes = Math.floor(cluster.state.value_kb * 1024 * 0.8);
		this.ledger = new SharedRecords(
			keys.machines,
			this.leaderCondition(),
			mostBytes,
			cluster.state.txn_ops,
			ports.store,
			{ ...shared, confirmed: (entries) => this.machinesDurable(entries.keys()) },
			{ rateClass: "normal", everyMs: ledgerEveryMs, shrinkMs: 3000 },
		);
		this.progress = new SharedRecords(
			keys.progress,
			this.leaderCondition(),
			mostBytes,
			cluster.state.txn_ops,
			ports.store,
			{ ...shared, confirmed: (entries) => this.pagesDurable(entries) },
			{ rateClass: "background", everyMs: progressEveryMs, shrinkMs: 5000 },
		);
		this.rebuild();
	}

	private get active(): boolean {
		return !this.ended && this.authority();
	}

	end(): void {
		this.ended = true;
		for (const held of this.held.values()) held.answer(null);
		this.held.clear();
	}

	// --- rebuilding ---

	/** Jobs come from the store; machines that may hold tasks are hidden until heard or waited out. */
	private rebuild(): void {
		const { tables, replica, ports } = this;
		const now = ports.time.now();
		this.progress.load(replica.progress);
		for (const [id, record] of replica.jobs)
			this.loadJob(id, record.value.spec, record.value.at, record.revision);
		this.ledger.load(replica.machines);
		for (const { value } of replica.machines.values()) {
			for (const [id, record] of Object.entries(value.entries)) {
				if (tables.machines.has(id)) continue;
				const type = tables.types.get(record.type) ?? unknownType(record.type);
				const machine = this.newMachine(id, type, record.zone, record.spot, now);
				machine.endpoint = record.endpoint;
				machine.durable = true;
				this.takeover.hide(machine, record.session);
			}
		}
		// Whatever they name can hold tasks: nothing starts before every lease has run out.
		if (replica.machinesMalformed) this.takeover.waitForUnreadable();
		this.takeover.sendProbes(false);
		ports.log.info(
			{ epoch: this.epoch, jobs: tables.jobs.size, machines: tables.machines.size },
			"leading: rebuilding",
		);
	}

	private newMachine(id: string, type: MachineType, zone: string, spot: boolean, now: number): Machine {
		const machine = new Machine(id, type, zone, spot, now);
		this.tables.machines.set(id, machine);
		return machine;
	}

	private loadJob(id: string, spec: Job["spec"], at: number, revision: number): void {
		const job = this.tables.addJob(id, spec, at, revision);
		for (const [page, bits] of this.replica.pagesOf(id)) {
			job.done.addPage(page, bits);
			job.durable.addPage(page, bits);
		}
		job.knownAt = this.ports.time.now();
		job.fillWaiting();
		this.ports.log.debug(
			{
				job: id,
				lane: spec.lane,
				team: spec.team,
				tasks: spec.tasks,
				estimateS: spec.estimateS,
				dueS: spec.deadlineS,
			},
			"job known",
		);
		this.finishIfDone(job);
	}

	// --- reports ---

	/** null: this process may not answer for the controllers. */
	report(report: WorkerReport): Promise<Order[] | null> {
		// A worker that has seen a later token drops our answer, and would wait here while its lease runs out.
		if (!this.active || report.token > this.epoch) return Promise.resolve(null);
		if (this.fleet.isGone(report.machine)) return Promise.resolve(null);
		const now = this.ports.time.now();
		const applied = this.apply(report);
		// Of a type that nobody knows no task can be told from another: it gets no answer that keeps them.
		if (applied === "expired" || applied === "unknown type") return Promise.resolve(null);
		if (applied === "old") return Promise.resolve([]);
		const machine = this.tables.machines.get(report.machine) as Machine;
		machine.answeredAt = now;
		if (!machine.durable) this.record(machine);
		// Whoever still waits for the answer to an earlier report of it gets no order: it is out of date.
		this.held.get(machine.id)?.answer([]);
		this.held.delete(machine.id);
		const waiting = this.anyWaiting(now);
		const idle = machine.attempts.size === 0 && !waiting;
		if (!machine.open || machine.freeCpus <= 0 || !(waiting || idle))
			return Promise.resolve(this.answer(machine));
		// Freed places are filled in the same answer: the next one is a report interval away.
		// A machine without tasks has nothing to report meanwhile and is answered when work comes.
		const holdMs = idle ? Math.min(idleHoldMs, this.platform.cluster.workers.report_s * 600) : answerHoldMs;
		if (waiting) this.tables.changed = true;
		return new Promise((resolve) => {
			this.held.set(machine.id, { until: now + holdMs, idle, answer: resolve });
			this.sweepHeldLater();
		});
	}

	/** Who receives the machine's reports: another controller, or null for this one. */
	relayFor(id: string): string | null {
		return this.presence.relayFor(id, this.ports.time.now());
	}

	private answer(machine: Machine): Order[] | null {
		if (!this.active) return null;
		machine.answeredAt = this.ports.time.now();
		this.assigned.delete(machine);
		return ordersFor(this.tables, machine);
	}

	/** One timer for all that are held: there can be hundreds. */
	private sweepHeldLater(): void {
		if (this.sweeping || this.held.size === 0) return;
		this.sweeping = true;
		this.ports.time.after(holdSweepMs, () =>
			this.ports.post(() => {
				this.sweeping = false;
				const now = this.ports.time.now();
				for (const [id, held] of this.held) if (held.until <= now) this.release(id, held);
				this.sweepHeldLater();
			}),
		);
	}

	private release(id: string, held: HeldReport): void {
		this.held.delete(id);
		const machine = this.tables.machines.get(id);
		held.answer(machine ? this.answer(machine) : null);
	}

	private apply(report: WorkerReport): Applied["kind"] {
		const { tables, ports } = this;
		const now = ports.time.now();
		const toldBefore = tables.machines.get(report.machine)?.unwanted ?? [];
		const applied = applyReport(tables, report, now);
		if (applied.kind !== "applied") return applied.kind;
		const { machine } = applied;
		if (machine.unwanted.length > 0) this.stopUnwanted(machine, toldBefore);
		machine.onlyListed = false;
		if (applied.isNew) ports.log.info({ machine: machine.id, type: machine.type.name }, "machine up");
		for (const outcome of applied.outcomes) this.settle(outcome, now);
		// Not only by outcomes: a job's last tasks may have ended while nobody led.
		for (const job of applied.progressed) this.finishIfDone(job);
		for (const attempt of applied.begun) this.logReplica(attempt, "replica runs");
		for (const attempt of applied.vanished) {
			ports.log.info({ machine: machine.id, job: attempt.job.id, task: attempt.index }, "task vanished");
		}
		this.stopBeforeTaken(machine, now);
		return "applied";
	}

	/**
	 * What nobody wants is told to stop at once, also where no answer goes: a machine may have
	 * been asked straight. Until it is gone its team's cores are taken, or, where the job was
	 * over before this process knew of it, nothing starts until its end has been read.
	 */
	private stopUnwanted(machine: Machine, toldBefore: UnwantedTask[]): void {
		const told = new Set(toldBefore.map((t) => `${t.job}/${t.index}/${t.attempt}`));
		const orders = machine.unwanted
			.filter((t) => !told.has(`${t.job}/${t.index}/${t.attempt}`))
			.map(({ job, index, attempt }): Order => ({ op: "stop", job, index, attempt, graceS: 0 }));
		if (orders.length > 0) this.order(machine, orders);
		for (const job of this.tables.strangeJobs()) this.lookUpEnd(job);
	}

	private lookUpEnd(id: string): void {
		if (this.lookingUp.has(id)) return;
		this.lookingUp.add(id);
		this.ports.store.read(keys.final(id)).then(
			({ row }) =>
				this.ports.post(() => {
					if (row) this.replica.rememberFinal(id, parseFinal(row.value), row.revision);
					this.tables.resolveStrange(id);
				}),
			() =>
				this.ports.time.after(500, () =>
					this.ports.post(() => {
						this.lookingUp.delete(id);
						if (this.active && this.tables.strangeJobs().has(id)) this.lookUpEnd(id);
					}),
				),
		);
	}

	private settle({ attempt, cause }: Outcome, now: number): void {
		const { job, machine } = attempt;
		if (job.standing) this.logReplica(attempt, `replica ended: ${cause}`);
		if (cause === "done") {
			if (attempt.runningAt !== null) {
				const seconds = (now - attempt.runningAt) / 1000;
				// Enough runs for a mean, mostly on other machines.
				if (job.finishedRuns >= 4) noteRun(machine, seconds, job.estimateS);
				if (!machine.faulty && muchTooSlow(machine, this.tables.machines.values())) {
					machine.setAside(now);
					this.ports.log.info({ machine: machine.id, ratio: machine.runRatio }, "set aside as much too slow");
				}
				job.finishedRuns += 1;
				job.finishedSeconds += seconds;
			}
			machine.suspect = false;
			machine.failedJobs.clear();
			job.failedOn.clear();
			return;
		}
		if (cause !== "error" && cause !== "unknown") return;
		this.ports.log.info({ machine: machine.id, job: job.id, task: attempt.index, cause }, "task failed");
		// One that ran for long and failed says little of where it starts next.
		if (job.standing && attempt.runningAt !== null && now - attempt.runningAt > steadyMs)
			job.failedOn.clear();
		job.failedOn.add(machine.id);
		job.failedAt = now;
		if (job.standing) job.notBefore = now + Math.min(10_000, 250 * 2 ** Math.min(6, job.failedOn.size));
		if (job.doomed) {
			// It fails everywhere: tried again with growing pauses.
			job.notBefore = now + Math.min(60_000, 2000 * 2 ** Math.min(5, job.failedOn.size - 3));
		}
		if (cause === "error") {
			machine.putOnTrial(now);
			machine.failedJobs.add(job.id);
			if (machine.failedJobs.size >= this.settings.machines.faulty_after && !machine.faulty) {
				machine.setAside(now);
				this.ports.log.info({ machine: machine.id }, "set aside as faulty");
			}
		}
	}

	/**
	 * On a machine that will be taken away, a task that can save is stopped in time
	 * for that. One that cannot save and will hardly finish is stopped at once: its
	 * work is lost in any case, and elsewhere it begins so much earlier.
	 */
	private stopBeforeTaken(machine: Machine, now: number): void {
		if (machine.takenAt === null) return;
		const leftS = (machine.takenAt - now) / 1000;
		const margin = 2 * this.platform.cluster.workers.report_s;
		const stopped: Attempt[] = [];
		for (const attempt of machine.attempts.values()) {
			const { spec } = attempt.job;
			// Replicas are moved, and run until then.
			if (attempt.stop !== null || attempt.phase === "assigned" || attempt.job.standing) continue;
			if (spec.checkpointS > 0 && attempt.phase === "running") {
				if (leftS <= spec.saveS + margin) attempt.stop = { graceS: leftS, why: "machine is taken" };
				continue;
			}
			const elapsedS = attempt.runningAt === null ? 0 : (now - attempt.runningAt) / 1000;
			const needS = attempt.job.estimateS - elapsedS;
			if (needS <= leftS * hopelessFactor) continue;
			attempt.stop = { graceS: 0, why: "machine is taken" };
			stopped.push(attempt);
		}
		this.stopNow(stopped);
	}

	// --- the store ---

	private leaderCondition(): StoreCondition {
		return { key: keys.leader, revision: this.epoch };
	}

	/** A machine's record is written before the first start is sent to it. */
	private record(machine: Machine): void {
		if (this.ledger.has(machine.id)) return;
		this.ledger.set(machine.id, {
			endpoint: machine.endpoint,
			type: machine.type.name,
			zone: machine.zone,
			spot: machine.spot,
			session: machine.session,
		});
		this.ledger.flush();
	}

	private machinesDurable(ids: Iterable<string>): void {
		for (const id of ids) {
			const machine = this.tables.machines.get(id);
			if (machine) machine.durable = true;
		}
		this.tables.changed = true;
	}

	private pagesDurable(entries: Map<string, string>): void {
		for (const [name, bits] of entries) {
			const { job, page } = pageOf(name);
			this.tables.jobs.get(job)?.durable.addPage(page, bits);
		}
	}

	private lostKey(): void {
		if (!this.ended) this.resign("the leader's key has changed");
	}

	private machineGone(machine: Machine): void {
		const held = this.tables.removeMachine(machine);
		this.ports.log.info({ machine: machine.id, held }, "machine gone");
		this.assigned.delete(machine);
		// A record left behind only makes a later leader wait for a machine that is gone.
		this.ledger.delete(machine.id);
	}

	private finishIfDone(job: Job): void {
		if (!job.done.full || job.ending || job.cancelled) return;
		job.ending = true;
		this.writeFinal(job);
	}

	private writeFinal(job: Job): void {
		if (this.ended || job.cancelled) return;
		// Tried again all along while the store is away, so the audit leaves it alone.
		job.endingAt = this.ports.time.now();
		const { spec } = job;
		const value: FinalRecord = {
			status: "done",
			tasks: spec.tasks,
			done: spec.tasks,
			demand: demandOf(spec),
		};
		const changes: StoreChange[] = [{ delete: keys.job(job.id) }, { put: keys.final(job.id), value }];
		const conditions = [this.leaderCondition(), { key: keys.job(job.id), revision: job.revision }];
		this.ports.store.transact(conditions, changes, "first").then(
			(result) =>
				this.ports.post(() => {
					if (!result.ok) {
						if (result.failed.includes(keys.leader)) this.lostKey();
						// Else the job was cancelled first; the watch says so.
						return;
					}
					const tookS = Math.round((this.ports.time.date().getTime() - job.at) / 100) / 10;
					this.ports.log.info(
						{ job: job.id, lane: job.spec.lane, tookS, dueS: job.spec.deadlineS },
						"job done",
					);
					this.replica.applyOwn(keys.final(job.id), value, result.epoch);
					this.jobEnded(job.id);
				}),
			(error) => {
				// What the store will not take is left to the audit, and said.
				const refused = error instanceof CallFailed && error.kind === "rejected";
				if (refused) this.ports.log.error({ key: keys.final(job.id), err: error.message }, "not written");
				else this.ports.time.after(300, () => this.ports.post(() => this.writeFinal(job)));
			},
		);
	}

	private writeProgress(): void {
		for (const job of this.tables.jobs.values()) {
			if (job.dirtyPages.size === 0 || job.ending) continue;
			for (const page of job.dirtyPages) this.progress.set(pageName(job.id, page), job.done.page(page));
			job.dirtyPages.clear();
		}
		this.progress.flush();
	}

	/**
	 * What is in the local copy and what this leader works on must be the same jobs. Should a
	 * change ever be missed, or the end of a job get stuck, it is mended here.
	 */
	private audit(now: number): void {
		if (now < this.nextAudit) return;
		this.nextAudit = now + auditEveryMs;
		const { jobs } = this.replica;
		for (const id of jobs.keys()) if (!this.tables.jobs.has(id)) this.jobChanged(id);
		for (const [id, job] of [...this.tables.jobs]) {
			if (!jobs.has(id)) this.jobEnded(id);
			else if (job.ending && now - job.endingAt > auditEveryMs) this.writeFinal(job);
		}
	}

	/** A job appeared in the local copy, or left it. */
	jobChanged(id: string): void {
		if (this.ended) return;
		const record = this.replica.jobs.get(id);
		if (record) {
			if (!this.tables.jobs.has(id)) this.loadJob(id, record.value.spec, record.value.at, record.revision);
		} else this.jobEnded(id);
	}

	private jobEnded(id: string): void {
		const job = this.tables.jobs.get(id);
		if (!job) return;
		for (let page = 0; page * tasksPerPage < job.spec.tasks; page++) this.progress.delete(pageName(id, page));
		const still = this.tables.endJob(job);
		if (still.length > 0) this.ports.log.info({ job: id, running: still.length }, "job over: stopping tasks");
		this.stopNow(still);
	}

	/** Stops go straight to the workers, and again in every answer until the attempts are over. */
	private stopNow(attempts: Attempt[]): void {
		if (!this.active) return;
		const byMachine = new Map<Machine, Attempt[]>();
		for (const a of attempts) byMachine.set(a.machine, [...(byMachine.get(a.machine) ?? []), a]);
		for (const [machine, list] of byMachine) this.order(machine, stopsFor(list));
	}

	private order(machine: Machine, orders: Order[]): void {
		if (!this.active || machine.endpoint === "" || machine.lost) return;
		this.ports.workers
			.command(machine.endpoint, this.epoch, machine.session, orders)
			.catch((error) => this.ports.log.debug({ machine: machine.id, err: String(error) }, "stop not sent"));
	}

	// --- time ---

	tick(): void {
		if (!this.active) return;
		const now = this.ports.time.now();
		this.lateMs += 0.2 * (now - this.lastTick - tickMs - this.lateMs);
		this.lastTick = now;
		this.takeover.tick(now, this.lateMs > busyMs);
		this.sweep(now);
		this.fleet.tick();
		this.ledger.flush();
		if (now >= this.nextProgress) {
			this.nextProgress = now + progressEveryMs;
			this.writeProgress();
		}
		this.presence.tick(now, () => this.runningCounts());
		this.audit(now);
		if (this.anyWaiting(now)) this.tables.changed = true;
		this.preempt(now);
		this.moveReplicas(now);
		this.maybePlace();
		if (this.tables.exhausted) this.resign("attempt numbers used up");
	}

	private sweep(now: number): void {
		if (!this.rebuiltSaid && this.tables.rebuilt) {
			this.rebuiltSaid = true;
			this.ports.log.info(
				{ epoch: this.epoch, afterMs: Math.round(now - this.beganAt) },
				"rebuilt: starting tasks",
			);
		}
		const { certainMs } = this.tables;
		const deaf: Machine[] = [];
		for (const machine of this.tables.machines.values()) {
			if (machine.deafAt !== null && !machine.returning) deaf.push(machine);
			if (machine.faulty || machine.suspect) machine.forgive(now);
			if (machine.lost || !(machine.up || this.tables.hidden.has(machine))) continue;
			if (now - machine.answeredAt <= certainMs) continue;
			const n = this.tables.expire(machine);
			this.ports.log.info({ machine: machine.id, tasks: n }, "machine silent: its lease has expired");
		}
		// Where many seem not to hear while the processor is short, it is our answers that come too late.
		if (this.lateMs > busyMs && deaf.length > Math.max(2, this.tables.machines.size / 5)) {
			this.ports.log.info({ machines: deaf.length }, "answers reach few machines: taken as our own delay");
			for (const machine of deaf) {
				machine.deafAt = null;
				machine.lostAnswers = 0;
			}
		}
	}

	/** Tasks running by job, for users to see at any node. */
	private runningCounts(): [string, number][] {
		const counts: [string, number][] = [];
		for (const job of this.tables.jobs.values()) {
			if (job.attempts.size > 0) counts.push([job.id, runningOf(job)]);
		}
		return counts;
	}

	runningCount(id: string): number {
		const job = this.tables.jobs.get(id);
		return job ? runningOf(job) : 0;
	}

	private send(node: string, message: PeerMessage): void {
		this.ports.peers.send(node, message);
	}

	/** Stops tasks for waiting ones of more right, after a moment in which room may come by itself. */
	private preempt(now: number): void {
		if (now < this.nextPreemption || !this.tables.rebuilt) return;
		this.nextPreemption = now + preemptEveryMs;
		const waiting = [...this.tables.jobs.values()].filter(
			(job) =>
				job.waiting.length > 0 &&
				job.notBefore <= now &&
				!job.ending &&
				!job.doomed &&
				now - job.knownAt > preemptAfterMs,
		);
		if (waiting.length === 0) return;
		const order = this.inOrder(waiting);
		const victims = chooseVictims(this.tables, order, now, (machines, most) =>
			sampled(machines, most, this.ports.random),
		);
		if (victims.length === 0) return;
		for (const victim of victims) {
			const { spec } = victim.job;
			victim.stop = { graceS: spec.checkpointS > 0 ? 2 * spec.saveS : 0, why: "preempted" };
		}
		this.ports.log.debug({ tasks: victims.map((v) => `${v.job.id}/${v.index}`) }, "preempted");
		this.stopNow(victims);
	}

	/**
	 * From machines that will go, replicas move early. A task may not be on two machines, so room
	 * elsewhere is kept first, then the replica is stopped, and it starts there as soon as its
	 * end is proved.
	 */
	private moveReplicas(now: number): void {
		if (now < this.nextMoves || !this.tables.rebuilt) return;
		this.nextMoves = now + movesEveryMs;
		const moved: Attempt[] = [];
		for (const machine of this.tables.machines.values()) {
			if (!machine.leaving || machine.lost) continue;
			const hurry = machine.takenAt !== null && machine.takenAt - now < hurryMs;
			for (const attempt of machine.attempts.values()) {
				const { job } = attempt;
				if (!job.standing || attempt.stop !== null || attempt.phase === "assigned") continue;
				if (!hurry && [...job.attempts.values()].some((a) => a.moveTo !== null)) continue;
				const to = this.placeFor(attempt);
				if (!to) continue;
				this.tables.move(attempt, to);
				moved.push(attempt);
			}
		}
		if (moved.length === 0) return;
		this.ports.log.info(
			{ replicas: moved.map((a) => `${a.job.id}/${a.index}`) },
			"moved from machines that go",
		);
		this.stopNow(moved);
	}

	/** Where the replica could go on: with its image and without another replica of the job, if possible. */
	private placeFor(attempt: Attempt): Machine | null {
		const { job } = attempt;
		const { spec } = job;
		const zones = this.tables.zonesWithout(job, [attempt]);
		const beside = new Set([...job.attempts.values()].map((a) => a.machine));
		let best: Machine | null = null;
		let bestWorth = -1;
		for (const machine of this.tables.machines.values()) {
			if (!machine.open || machine.suspect || !machineAllowed(spec, machine) || !machine.hasRoomFor(spec))
				continue;
			if ((spec.oneZone || spec.spread) && zoneRoom(spec, zones, machine.zone) < 1) continue;
			const worth = (beside.has(machine) ? 0 : 2) + (machine.images.has(spec.image) ? 1 : 0);
			if (worth > bestWorth) {
				best = machine;
				bestWorth = worth;
			}
		}
		return best;
	}

	// --- placing ---

	/** Looked up once a batch, however many reports it holds. */
	private anyWaiting(now: number): boolean {
		if (this.waitingNow === null) {
			this.waitingNow = false;
			for (const job of this.tables.jobs.values()) {
				if (job.waiting.length > 0 && job.notBefore <= now) {
					this.waitingNow = true;
					break;
				}
			}
		}
		return this.waitingNow;
	}

	/** After each batch of commands. */
	maybePlace(): void {
		if (!this.active) return;
		const now = this.ports.time.now();
		if (this.tables.changed && now >= this.nextCycle) {
			this.tables.changed = false;
			this.nextCycle = now + this.settings.placing.cycle_s * 1000;
			if (this.tables.rebuilt) this.place(now);
		}
		for (const machine of this.tables.followUps) this.assigned.add(machine);
		this.tables.followUps.clear();
		if (this.outstanding.size === 0) {
			if (this.assigned.size > 0) this.sendAssigned(now);
			// Nothing more will be placed for now: whoever was held for that is answered.
			if (!this.tables.changed) {
				for (const [id, held] of this.held) if (!held.idle) this.release(id, held);
			}
		}
		this.waitingNow = null;
	}

	/**
	 * Starts go to machines whose report waits for its answer. The others get theirs with
	 * the next report, which a change of its tasks brings on: so one exited task is left
	 * with each machine, to be forgotten by direct order when there is something to start.
	 * A connection a start is too much when the processor is short.
	 */
	private sendAssigned(now: number): void {
		const reportMs = this.platform.cluster.workers.report_s * 1000;
		for (const machine of this.assigned) {
			const held = this.held.get(machine.id);
			if (held) {
				this.release(machine.id, held);
				continue;
			}
			const handle = machine.handle;
			if (handle === null || this.lateMs > busyMs || now - machine.reportedAt > reportMs * 0.6) continue;
			machine.handle = null;
			const order: Order = { op: "forget", job: handle.job, index: handle.index, attempt: handle.attempt };
			this.ports.workers.command(machine.endpoint, this.epoch, machine.session, [order]).catch(() => {});
		}
		this.assigned.clear();
	}

	private place(now: number): void {
		const silentMs = this.settings.placing.silent_s * 1000;
		for (const [node, o] of this.outstanding) {
			if (now - o.sentAt > silentMs) {
				this.outstanding.delete(node);
				this.presence.silent(node);
			}
		}
		// Cheap cores fill first, so that dear machines are the ones to run empty and go back.
		const open = [...this.tables.machines.values()].filter((m) => m.open && m.freeCpus > 0);
		if (open.length === 0) return;
		const views = sampled(open, this.settings.placing.sample, this.ports.random)
			.sort((a, b) => pricePerCpu(a) - pricePerCpu(b) || b.freeCpus - a.freeCpus)
			.map(viewOf);
		const grants = this.grants(views, now);
		if (grants.length === 0) return;
		const live = this.presence.livePlacers(now);
		const shares = new Map<string, Grant[]>();
		for (const { grant, team } of grants) {
			const here = (this.tables.jobs.get(grant.job)?.placedHereUntil ?? 0) > now;
			const placer = here ? this.self : (placerOf(team, live) ?? this.self);
			// A placer still at work on the last view may be using its teams' room already.
			if (this.outstanding.has(placer)) continue;
			shares.set(placer, [...(shares.get(placer) ?? []), grant]);
		}
		this.cycle += 1;
		const order = [...shares.keys()].sort();
		for (const [placer, share] of shares) {
			// Placers begin at different machines so that they seldom want the same place.
			const start = Math.floor((order.indexOf(placer) * views.length) / order.length);
			if (placer === this.self) {
				const copy = views.map((v) => ({ ...v }));
				this.issue(placeFirstFit(copy, share, (id) => this.tables.jobs.get(id)?.spec, start));
				continue;
			}
			this.outstanding.set(placer, { cycle: this.cycle, sentAt: now });
			this.send(placer, {
				kind: "view",
				epoch: this.epoch,
				cycle: this.cycle,
				start,
				machines: views,
				grants: share,
			});
		}
	}

	/** Checks every proposal against the leader's own tables. */
	private issue(placements: Placement[]): void {
		for (const p of placements) {
			const job = this.tables.jobs.get(p.job);
			const machine = this.tables.machines.get(p.machine);
			if (!job || !machine || !Number.isInteger(p.count)) continue;
			for (let i = 0; i < p.count; i++) {
				const attempt = this.tables.decide(job, machine);
				if (!attempt) break;
				this.assigned.add(machine);
				if (job.standing) this.logReplica(attempt, "replica start decided");
			}
		}
	}

	private logReplica({ job, index, machine }: Attempt, message: string): void {
		this.ports.log.debug({ job: job.id, task: index, machine: machine.id, zone: machine.zone }, message);
	}

	peerMessage(from: string, message: PeerMessage): void {
		if (this.ended || message.epoch !== this.epoch) return;
		const now = this.ports.time.now();
		this.presence.heard(from, now);
		if (message.kind === "pong") {
			this.presence.answered(from, message.strays, message.standing === true, now);
			this.recordFeatures();
		}
		if (message.kind !== "placed") return;
		const asked = this.outstanding.get(from);
		if (!asked || asked.cycle !== message.cycle) return;
		this.outstanding.delete(from);
		this.issue(message.placements);
		// A placer that lags behind, or has missed a job, must not keep it from starting.
		for (const id of message.unknown) {
			const job = this.tables.jobs.get(id);
			if (job) job.placedHereUntil = now + placedHereMs;
			this.tables.changed = true;
		}
	}

	/** Once every controller has said that it serves standing jobs, all are told, for good. */
	private recordFeatures(): void {
		if (this.recordingFeatures || this.replica.features.standing || !this.active) return;
		if (!this.presence.allServeStanding) return;
		this.recordingFeatures = true;
		const value: FeaturesRecord = { standing: true };
		const done = () => this.ports.post(() => (this.recordingFeatures = false));
		this.ports.store
			.transact([this.leaderCondition()], [{ put: keys.features, value }], "normal")
			.then(done, () => this.ports.time.after(1000, done));
	}

	private inOrder(jobs: Job[]): Job[] {
		const { quotas, machines } = this.tables;
		let cpus = 0;
		for (const machine of machines.values()) if (machine.open) cpus += machine.type.cpus;
		const teams = new Set(jobs.map((job) => job.spec.team)).size;
		return servingOrder(
			jobs,
			(team) => quotas.team(team),
			this.ports.time.date().getTime(),
			cpus > 0 ? cpus / Math.max(1, teams) : Number.POSITIVE_INFINITY,
		);
	}

	/** Who may start how much now: guarantees first, then borrowing; urgent before the rest. */
	private grants(views: ViewMachine[], now: number): { grant: Grant; team: string }[] {
		const { quotas } = this.tables;
		let freeCpus = 0;
		for (const v of views) freeCpus += v.cpus;
		const jobs = this.inOrder(
			[...this.tables.jobs.values()].filter(
				(job) => job.waiting.length > 0 && job.notBefore <= now && !job.ending,
			),
		);
		const taken = new Map<string, { cpus: number; gpus: number }>();
		const grants = new Map<Job, number>();
		const date = this.ports.time.date().getTime();
		// Room promised to work that cannot use it would be kept from work that can.
		const usable = new Map<string, number>();
		const usableTasks = (job: Job): number => {
			const { spec } = job;
			const zoneRule = spec.oneZone || spec.spread;
			const key = zoneRule ? job.id : job.demandKey;
			let n = usable.get(key);
			if (n === undefined) {
				n = placeable(spec, zoneRule ? this.tables.zonesOf(job) : {}, views);
				usable.set(key, n);
			}
			return n;
		};
		const passes = [
			{ jobs: jobs.filter((job) => starved(job, date)), most: 1, guarantee: false },
			{ jobs, most: Number.POSITIVE_INFINITY, guarantee: true },
			{ jobs, most: Number.POSITIVE_INFINITY, guarantee: false },
		];
		for (const { jobs: served, most, guarantee } of passes) {
			for (const job of served) {
				if (freeCpus <= 0) break;
				const { spec } = job;
				const extra = taken.get(spec.team) ?? { cpus: 0, gpus: 0 };
				const already = grants.get(job) ?? 0;
				const waiting = Math.min(job.waiting.length, job.doomed ? 1 : most);
				let n = Math.min(waiting - already, quotas.room(spec.team, spec.cpus, spec.gpus, guarantee, extra));
				n = Math.min(n, Math.ceil(freeCpus / spec.cpus));
				if (n > 0) n = Math.min(n, usableTasks(job) - already);
				if (n <= 0) continue;
				grants.set(job, already + n);
				taken.set(spec.team, { cpus: extra.cpus + n * spec.cpus, gpus: extra.gpus + n * spec.gpus });
				freeCpus -= n * spec.cpus;
			}
		}
		return [...grants].map(([job, count]) => ({
			team: job.spec.team,
			grant: {
				job: job.id,
				count,
				// For a while only: there may be no others, and what was wrong there may be over.
				avoid: job.doomed || now - job.failedAt > avoidMs ? [] : [...job.failedOn],
				zones: job.spec.oneZone || job.spec.spread ? this.tables.zonesOf(job) : {},
				...(job.standing && { beside: [...job.attempts.values()].map((a) => a.machine.id) }),
			},
		}));
	}
}

function runningOf(job: Job): number {
	let n = 0;
	for (const a of job.attempts.values()) if (a.phase === "running" || a.phase === "saving") n += 1;
	return n;
}

function pricePerCpu(machine: Machine): number {
	return machine.hourlyPrice / machine.type.cpus;
}

function viewOf(machine: Machine): ViewMachine {
	return {
		id: machine.id,
		type: machine.type.name,
		zone: machine.zone,
		spot: machine.spot,
		cpus: machine.freeCpus,
		gpus: machine.freeGpus,
		memory: machine.freeMemory,
		slots: machine.suspect ? Math.max(0, 1 - machine.attempts.size) : 100_000,
		images: [...machine.images],
	};
}
