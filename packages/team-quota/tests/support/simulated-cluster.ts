import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Amount } from "../../src/amount.js";
import type { Charge } from "../../src/charges.js";
import type { AllotmentUpdate } from "../../src/holder-messages.js";
import type { AllotmentManager } from "../../src/manager.js";
import { QuotaParticipant } from "../../src/quota-participant.js";
import type { LimitAndGuarantee, QuotaRecord } from "../../src/record.js";
import type { QuotaStore } from "../../src/stored-values.js";
import { AdmissionRecord } from "./admission-record.js";
import { EventQueue } from "./event-queue.js";
import type { History } from "./history.js";
import { SimulatedStore } from "./simulated-store.js";
import { StoredAllotments } from "./stored-allotments.js";

const prefix = "quota/";
const leaderKey = "leader";
const tickMs = 20;
const expiryMs = 600;

/** Work that waits at a paused process. */
interface HeldWork {
	run(): void;
	/** Called instead if the process ends before it resumes. */
	drop(): void;
}

interface Process {
	node: string;
	incarnation: string;
	participant: QuotaParticipant;
	/** Rate of the process's monotonic clock, relative to simulated time. */
	clockRate: number;
	manager: AllotmentManager | null;
	charges: Map<string, Charge>;
	/** The latest term known to its holder, and the tasks that it has sent, with their batch numbers. */
	term: number;
	readonly sentBatches: Map<AdmissionRecord, number>;
	heldWhilePaused: HeldWork[] | null;
	ended: boolean;
}

export interface FaultSettings {
	/** Fraction of messages that are lost, and of writes that get no answer and may be executed late. */
	messageLossRate: number;
	writeFailureRate: number;
	maxDelayMs: number;
}

/**
 * Several controllers in simulated time, with a store and links that fail. Nothing but the allotments
 * enforces limits. The election is assumed to be correct: there is one leader at a time.
 */
export class SimulatedCluster {
	readonly processes = new Map<string, Process>();
	readonly history: History = { tasks: [], refusals: [], limitChanges: [], maxInformationAgeMs: 3000 };
	longestWaitMs = 0;
	faults: FaultSettings = { messageLossRate: 0, writeFailureRate: 0, maxDelayMs: 3 };
	readonly logs: string[] = [];
	private readonly tasks = new Map<string, AdmissionRecord>();
	private readonly storedAllotments = new StoredAllotments();
	private readonly events = new EventQueue();
	private readonly store = new SimulatedStore({
		randomInt: (from, to) => this.randomInt(from, to),
		randomChance: (probability) => this.randomChance(probability),
		schedule: (ms, run) => this.schedule(ms, run),
		writeFailureRate: () => this.faults.writeFailureRate,
		onWritten: (key, value, revision) => this.notifyOfWrite(key, value, revision),
		onRecordWritten: (record) => this.recordWrite(record),
	});
	private leader: Process | null = null;
	private term = 0;
	private startedProcesses = 0;
	private readonly random;
	private readonly waitingSince = new Map<string, number>();

	constructor(
		seed: number,
		readonly nodes: string[],
		private readonly teams: Map<string, LimitAndGuarantee>,
		/** Returns the task that a node requests at each of its turns. */
		private readonly nextRequest: (node: string) => { team: string; size: Amount; runMs: number } | null,
	) {
		this.random = xoroshiro128plus(seed);
		for (const node of nodes) this.start(node);
	}

	randomInt(from: number, to: number): number {
		return uniformInt(this.random, from, to);
	}

	randomChance(probability: number): boolean {
		return this.randomInt(0, 9999) < probability * 10_000;
	}

	// --- time ---

	get now(): number {
		return this.events.now;
	}

	schedule(ms: number, run: () => void): void {
		this.events.schedule(ms, run);
	}

	run(ms: number): Promise<void> {
		return this.events.run(ms);
	}

	// --- processes ---

	start(node: string): void {
		this.startedProcesses += 1;
		const incarnation = `p${this.startedProcesses}`;
		const rate = 1 + this.randomInt(-500, 500) / 1_000_000;
		const offset = this.randomInt(0, 1_000_000);
		const now = () => offset + this.now * rate;
		const log = (fields: object, message: string) =>
			this.logs.push(`${this.now} ${node} ${message} ${JSON.stringify(fields)}`);
		const process: Process = {
			node,
			incarnation,
			clockRate: rate,
			manager: null,
			charges: new Map(),
			term: -1,
			sentBatches: new Map(),
			heldWhilePaused: null,
			ended: false,
			participant: new QuotaParticipant({
				node,
				incarnation,
				nodes: this.nodes,
				teams: this.teams,
				settings: { expiryMs, marginMs: 20, movePauseMs: 100 },
				keyPrefix: prefix,
				maxValueBytes: 2000,
				maxChangesPerTransaction: 4,
				store: this.store.createClient(),
				now,
				date: () => this.now,
				post: (command) => this.runOn(process, command),
				log: { info: log, error: log },
			}),
		};
		this.processes.set(node, process);
		for (const [key, row] of this.store.rows)
			process.participant.applyStoredValue(key, row.value, row.revision);
		this.scheduleTurns(process);
	}

	private runOn(process: Process, run: () => void, drop: () => void = () => {}): void {
		if (process.ended) drop();
		else if (process.heldWhilePaused) process.heldWhilePaused.push({ run, drop });
		else run();
	}

	private scheduleTurns(process: Process): void {
		if (process.ended) return;
		this.runOn(process, () => this.takeTurn(process));
		this.schedule(this.randomInt(1, tickMs), () => this.scheduleTurns(process));
	}

	end(node: string): void {
		const process = this.processes.get(node);
		if (!process) return;
		process.ended = true;
		this.processes.delete(node);
		if (this.leader === process) this.leader = null;
		for (const task of process.sentBatches.keys()) task.admittingProcessEnded(this.now);
		for (const { drop } of process.heldWhilePaused ?? []) drop();
	}

	pause(node: string): void {
		const process = this.processes.get(node);
		if (process) process.heldWhilePaused ??= [];
	}

	resume(node: string): void {
		const process = this.processes.get(node);
		const held = process?.heldWhilePaused ?? [];
		if (process) process.heldWhilePaused = null;
		for (const { run } of held) run();
	}

	/** Makes the node's process the leader; the previous leader loses its authority. */
	elect(node: string): void {
		const process = this.processes.get(node);
		if (!process || process.heldWhilePaused) return;
		this.leader?.participant.endTerm();
		this.term = this.store.put(leaderKey, node);
		this.leader = process;
		const manager = process.participant.beginTerm({ key: leaderKey, revision: this.term });
		process.manager = manager;
		process.charges = new Map();
		process.term = this.term;
		for (const task of process.sentBatches.keys()) task.recordUnableToStart(this.now);
		process.sentBatches.clear();
		// The new leader finds the running tasks after a delay.
		this.schedule(this.randomInt(5, 60), () => {
			if (this.leader !== process || process.manager !== manager) return;
			for (const task of this.tasks.values())
				if (task.running) process.charges.set(task.id, manager.chargeUnattributed(task.team, task.size));
			manager.start();
		});
	}

	get leaderNode(): string | null {
		return this.leader?.node ?? null;
	}

	// --- admissions ---

	private takeTurn(process: Process): void {
		const leads = this.leader === process;
		if (leads) this.takeLeaderTurn(process);
		const request = this.nextRequest(process.node);
		if (request) this.requestAdmission(process, request, leads);
	}

	private takeLeaderTurn(process: Process): void {
		process.manager?.tick();
		for (const node of this.nodes) {
			const update = process.manager?.nextUpdate(node);
			const { term } = this;
			if (update) this.send(node, (to) => this.deliverUpdate(to, term, JSON.parse(JSON.stringify(update))));
		}
	}

	/** Delivers an update. Tasks of batches that the holder drops now can no longer start, unless they have. */
	private deliverUpdate(to: Process, term: number, update: AllotmentUpdate): void {
		const previousTerm = to.term;
		to.participant.applyAllotmentUpdate(term, update);
		if (update.incarnation !== to.incarnation || term < previousTerm) return;
		to.term = term;
		for (const [task, batch] of to.sentBatches) {
			if (term === previousTerm && batch > update.settledBatch) continue;
			to.sentBatches.delete(task);
			task.recordUnableToStart(this.now);
		}
	}

	private requestAdmission(
		process: Process,
		request: { team: string; size: Amount; runMs: number },
		leads: boolean,
	): void {
		const { team, size, runMs } = request;
		const task = new AdmissionRecord(`t${this.tasks.size}`, team, size, this.now);
		if (leads) {
			process.manager?.setRequestedAmount(process.node, team, { cpus: size.cpus * 4, gpus: size.gpus * 4 });
			if (!process.manager?.mayStart(process.node, team, size)) {
				this.recordWaitStart(process.node, team);
				return;
			}
			this.recordAdmission(process.node, task);
			process.charges.set(task.id, process.manager.charges.add(team, process.node, size));
			this.startTask(task, runMs);
			return;
		}
		const admission = process.participant.admit(team, size);
		if (admission.kind === "admitted") {
			// For the history only: the simulated time at which the holder's allotment expires. An admission
			// after that time is not ended by the expiry.
			const validMs = (process.participant.validUntil - process.participant.now()) / process.clockRate;
			task.expiresAt = validMs > 0 ? this.now + validMs : Number.POSITIVE_INFINITY;
			this.recordAdmission(process.node, task);
			process.sentBatches.set(task, process.participant.closeBatch());
			this.storedAllotments.recordAdmission(process.incarnation, task);
		} else {
			this.recordWaitStart(process.node, team);
			if (admission.reason === "team at its limit")
				this.history.refusals.push({ team, size: [size.cpus, size.gpus], at: this.now });
		}
		this.sendProposal(process, admission.kind === "admitted" ? task : null, request);
	}

	private recordWaitStart(node: string, team: string): void {
		const key = `${node}/${team}`;
		if (!this.waitingSince.has(key)) this.waitingSince.set(key, this.now);
	}

	private recordAdmission(node: string, task: AdmissionRecord): void {
		this.tasks.set(task.id, task);
		const key = `${node}/${task.team}`;
		this.longestWaitMs = Math.max(this.longestWaitMs, this.now - (this.waitingSince.get(key) ?? this.now));
		this.waitingSince.delete(key);
	}

	private sendProposal(
		process: Process,
		task: AdmissionRecord | null,
		request: { team: string; size: Amount; runMs: number },
	): void {
		const requestedAmount = { cpus: request.size.cpus * 4, gpus: request.size.gpus * 4 };
		const reply = process.participant.reply([{ team: request.team, amount: requestedAmount }]);
		task?.sentWith(reply.number);
		if (!this.leader) return;
		const deliver = (to: Process) => {
			if (to !== this.leader) return;
			for (const sent of process.sentBatches.keys()) sent.replyDelivered(reply.number, this.now);
			const accepted = to.participant.handleReply(process.node, JSON.parse(JSON.stringify(reply)));
			if (!task) return;
			const starts = accepted && to.manager?.mayStart(process.node, task.team, task.size) === true;
			if (starts && to.manager) {
				to.charges.set(task.id, to.manager.charges.add(task.team, process.node, task.size));
				this.startTask(task, request.runMs);
			} else task.recordUnableToStart(this.now);
		};
		this.send(this.leader.node, deliver, task);
	}

	private startTask(task: AdmissionRecord, runMs: number): void {
		task.recordStart(this.now);
		this.schedule(runMs, () => {
			task.recordEnd(this.now);
			const leader = this.leader;
			if (!leader) return;
			this.runOn(leader, () => {
				const charge = leader.charges.get(task.id);
				if (charge && this.leader === leader) leader.manager?.charges.release(charge);
			});
		});
	}

	/** Sends a message, which carries the admission of the task if there is one. */
	private send(
		node: string,
		deliver: (to: Process) => void,
		carriedTask: AdmissionRecord | null = null,
	): void {
		if (this.randomChance(this.faults.messageLossRate)) return;
		const copies = this.randomChance(this.faults.messageLossRate / 2) ? 2 : 1;
		const copyGone = () => carriedTask?.copyGone(this.now);
		for (let i = 0; i < copies; i++) {
			carriedTask?.copySent();
			this.schedule(this.randomInt(1, this.faults.maxDelayMs), () => {
				const deliverCopy = (to: Process) => {
					deliver(to);
					copyGone();
				};
				const to = this.processes.get(node);
				if (to) this.runOn(to, () => deliverCopy(to), copyGone);
				else copyGone();
			});
		}
	}

	// --- the store ---

	get outage(): boolean {
		return this.store.outage;
	}

	set outage(outage: boolean) {
		this.store.outage = outage;
	}

	get storeWrites(): number {
		return this.store.writeCount;
	}

	/** The store as an operator's command uses it. */
	get operatorStore(): QuotaStore {
		return this.store.createClient();
	}

	private recordWrite(record: QuotaRecord): void {
		const { team, inForce } = record;
		const { limit, guarantee } = inForce;
		this.history.limitChanges.push({
			team,
			at: this.now,
			limit: [limit.cpus, limit.gpus],
			guarantee: [guarantee.cpus, guarantee.gpus],
		});
		this.storedAllotments.recordWrite(record, this.now);
	}

	private notifyOfWrite(key: string, value: unknown, revision: number): void {
		for (const process of this.processes.values())
			this.schedule(this.randomInt(1, 20), () =>
				this.runOn(process, () => process.participant.applyStoredValue(key, value, revision)),
			);
	}

	/** Returns the history in the form that the checker reads. */
	buildHistory(): History {
		this.history.tasks = [...this.tasks.values()].map((task) => task.toHistory(this.now));
		return this.history;
	}

	get startedTaskCount(): number {
		return [...this.tasks.values()].filter((task) => task.started).length;
	}
}
