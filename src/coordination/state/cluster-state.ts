/** What the leader of a term knows of jobs, machines and attempts, and the only place where it changes. */

import { Attempt } from "../../bookkeeping/attempt.js";
import { Job } from "../../bookkeeping/job.js";
import type { Machine } from "../../bookkeeping/machine.js";
import { QuotaLedger } from "../../bookkeeping/quota-ledger.js";
import type { JobId, MachineId, NodeId, Revision, Term } from "../../protocol/model/identifiers.js";
import type { JobSpec, TaskDemand } from "../../protocol/model/job.js";
import { taskDemandOf } from "../../protocol/model/job.js";
import type { MachineType } from "../../protocol/model/machine.js";
import type { TeamQuota } from "../../protocol/model/team-quota.js";
import type { AttemptRef } from "../../protocol/model/worker.js";
import type { AdmissionControl } from "../ports/team-quota.js";
import { type AssignmentReadiness, type AssignmentRefusal, AssignmentRules } from "./assignment-rules.js";
import { AttemptNumbers } from "./attempt-numbers.js";
import { OrphanRegistry } from "./orphan-registry.js";
import { QuotaAccounting } from "./quota-accounting.js";

/** What a cluster state begins with. */
export interface ClusterStateOptions {
	term: Term;
	teams: readonly TeamQuota[];
	machineTypes: Iterable<MachineType>;
	/**
	 * A worker's lease that was renewed longer ago than this, in milliseconds of the steady clock, has certainly
	 * expired, drift and margin included.
	 */
	workerLeaseExpiryMs?: number;
	/** What a task of a job that is over uses of its team's quota; null: not known. */
	demandOf?(jobId: JobId): TaskDemand | null;
}

/**
 * Owns the state of one term of leadership. Attempts begin and end here alone, whoever proposes them, so that each
 * counts against its machine and its team's quota from the decision to start it until it is proved over.
 */
export class ClusterState implements AssignmentReadiness {
	readonly term: Term;
	readonly quotas: QuotaLedger;
	readonly workerLeaseExpiryMs: number;
	readonly #accounting: QuotaAccounting;
	readonly #rules: AssignmentRules;
	readonly #orphans: OrphanRegistry;
	readonly #attemptNumbers: AttemptNumbers;
	readonly #jobs = new Map<JobId, Job>();
	readonly #machines = new Map<MachineId, Machine>();
	readonly #machineTypes = new Map<string, MachineType>();
	readonly #unreconciled = new Set<Machine>();
	#relocationTargets = new Set<Machine>();
	#placementRequested = false;

	constructor({ term, teams, machineTypes, workerLeaseExpiryMs, demandOf }: ClusterStateOptions) {
		this.term = term;
		this.quotas = new QuotaLedger(teams);
		this.#accounting = new QuotaAccounting(this.quotas);
		this.workerLeaseExpiryMs = workerLeaseExpiryMs ?? Number.POSITIVE_INFINITY;
		this.#rules = new AssignmentRules(this, this.#accounting);
		this.#orphans = new OrphanRegistry(this.#accounting, demandOf ?? (() => null));
		this.#attemptNumbers = new AttemptNumbers(term);
		this.updateMachineTypes(machineTypes);
	}

	// --- placement requests ---

	/** Something has happened since the last placement that may let a task start. */
	get placementRequested(): boolean {
		return this.#placementRequested;
	}

	/** Something has happened that may let a task start. */
	requestPlacement(): void {
		this.#placementRequested = true;
	}

	/** A placement begins, which goes by all that has happened until now. */
	clearPlacementRequest(): void {
		this.#placementRequested = false;
	}

	// --- jobs ---

	/** Jobs that have not ended in the store, as far as this leader knows, in the order in which it came to know them. */
	get jobs(): ReadonlyMap<JobId, Job> {
		return this.#jobs;
	}

	/**
	 * A job has become known.
	 *
	 * @param acceptedAt Time of day of the submission, in milliseconds.
	 * @param revision Revision of the job's live record.
	 */
	addJob(id: JobId, spec: JobSpec, acceptedAt: number, revision: Revision): Job {
		const job = new Job(id, spec, acceptedAt, revision);
		this.#jobs.set(id, job);
		this.requestPlacement();
		return job;
	}

	/**
	 * The job has ended in the store: nothing of it may start, and what runs is to be stopped.
	 *
	 * @returns The attempts that may run. Those whose start was not sent yet are over.
	 */
	removeJob(job: Job): Attempt[] {
		job.end();
		this.#jobs.delete(job.id);
		const remaining: Attempt[] = [];
		for (const attempt of [...job.attempts.values()]) {
			if (attempt.phase === "assigned") this.endAttempt(attempt);
			else {
				attempt.requestStop("job ended", 0);
				remaining.push(attempt);
			}
		}
		this.requestPlacement();
		return remaining;
	}

	/** A task of the job has completed, under whichever attempt. */
	markTaskDone(job: Job, taskIndex: number): void {
		if (job.markTaskDone(taskIndex)) this.requestPlacement();
	}

	/** A task of the job waits, and one of them may run now as far as its team's limit goes. */
	hasRunnableTask(job: Job, now: number): boolean {
		return job.hasReadyTask(now) && this.quotas.fitsLimit(job.spec);
	}

	// --- machine types ---

	/** The types that the cloud offers, by name. */
	get machineTypes(): ReadonlyMap<string, MachineType> {
		return this.#machineTypes;
	}

	/** The cloud names these types now. Types that it no longer names stay known: machines may be of them. */
	updateMachineTypes(machineTypes: Iterable<MachineType>): void {
		for (const type of machineTypes) this.#machineTypes.set(type.name, type);
	}

	// --- machines ---

	/** Machines that may run tasks or be rented, in the order in which this leader came to know them. */
	get machines(): ReadonlyMap<MachineId, Machine> {
		return this.#machines;
	}

	/** CPUs of the machines that take new tasks. */
	get schedulableCpus(): number {
		let cpus = 0;
		for (const machine of this.#machines.values()) if (machine.schedulable) cpus += machine.type.cpus;
		return cpus;
	}

	/** A machine has become known. */
	addMachine(machine: Machine): void {
		this.#machines.set(machine.id, machine);
	}

	/** The machine's deletion is confirmed: it and everything on it is gone. Returns the attempts that were on it. */
	removeMachine(machine: Machine): number {
		const attempts = this.clearMachine(machine);
		this.#machines.delete(machine.id);
		this.requestPlacement();
		return attempts;
	}

	/** A machine that was known from the cloud's list alone is not there: its worker was never heard. */
	dropMachine(machine: Machine): void {
		this.#machines.delete(machine.id);
	}

	/**
	 * The lease of the machine's worker has certainly expired, so the worker has killed all its tasks. It may come
	 * back, but only with a later agent epoch. Returns the attempts that were on the machine.
	 */
	expireLease(machine: Machine): number {
		machine.agent.expireLease();
		return this.clearMachine(machine);
	}

	/** Everything on the machine is certainly gone. Returns the attempts that were on it. */
	private clearMachine(machine: Machine): number {
		const attempts = [...machine.attempts.values()];
		for (const attempt of attempts) this.endAttempt(attempt);
		this.markReconciled(machine);
		machine.exitedTasks.clear();
		this.clearOrphans(machine);
		return attempts.length;
	}

	// --- reconciliation with the tasks of earlier leaders ---

	/**
	 * Every machine that may hold tasks of an earlier leader has been heard or waited out, and it is known what all
	 * orphaned tasks use. Nothing starts before.
	 */
	get reconciled(): boolean {
		return this.#unreconciled.size === 0 && this.#orphans.demandsKnown;
	}

	/** Machines that may hold tasks of an earlier leader which nobody has listed yet. */
	get unreconciledMachines(): ReadonlySet<Machine> {
		return this.#unreconciled;
	}

	/** The machine may hold tasks that nobody has listed yet. */
	markUnreconciled(machine: Machine): void {
		this.#unreconciled.add(machine);
	}

	/** All tasks of the machine are listed, or proved gone. */
	markReconciled(machine: Machine): void {
		this.#unreconciled.delete(machine);
	}

	// --- orphaned tasks ---

	/** The machine lists an attempt that is not wanted. It uses its team's quota until it is proved gone. */
	addOrphan(machine: Machine, ref: AttemptRef): void {
		const spec = this.#jobs.get(ref.jobId)?.spec;
		this.#orphans.add(machine, ref, spec ? taskDemandOf(spec) : null);
		this.requestPlacement();
	}

	/** The machine's orphaned tasks are gone, or a new heartbeat lists them anew. */
	clearOrphans(machine: Machine): void {
		if (this.#orphans.clear(machine)) this.requestPlacement();
	}

	/** Jobs with orphaned tasks of which it is not known what they use. */
	jobsWithUnknownDemand(): Set<JobId> {
		return this.#orphans.jobsWithUnknownDemand();
	}

	/** It may have become known what tasks of the job use. */
	resolveDemand(jobId: JobId): void {
		if (this.#orphans.resolveDemand(jobId)) this.requestPlacement();
	}

	// --- quota ---

	/** From now on a task needs an allotment to start. Those that may run already are charged to some. */
	enableAdmission(admission: AdmissionControl): void {
		this.#accounting.enableAdmission(admission);
		for (const machine of this.#machines.values()) {
			for (const attempt of machine.attempts.values())
				attempt.setCharge(this.#accounting.chargeFound(taskDemandOf(attempt.job.spec)));
			this.#orphans.chargeAll(machine);
		}
		this.requestPlacement();
	}

	// --- attempts ---

	/** The attempt numbers of the term are used up: the leader must resign. */
	get attemptNumbersExhausted(): boolean {
		return this.#attemptNumbers.exhausted;
	}

	/** Why one more task of the job may not start on the machine now; null: it may. */
	assignmentRefusal(
		job: Job,
		machine: Machine,
		admittedBy: NodeId = this.#accounting.self,
	): AssignmentRefusal | null {
		return this.#rules.refusal(job, machine, admittedBy);
	}

	/**
	 * Assigns the job's next waiting task to the machine, if every rule allows it.
	 *
	 * @param admittedBy The controller whose allotment the task is charged to, this one if not said; see
	 *   QuotaAccounting.
	 * @returns null: a rule forbids it, or no task waits.
	 */
	assignNextTask(job: Job, machine: Machine, admittedBy: NodeId = this.#accounting.self): Attempt | null {
		if (job.waitingTasks.length === 0 || this.assignmentRefusal(job, machine, admittedBy) !== null)
			return null;
		const taskIndex = job.dequeueWaitingTask();
		if (taskIndex === undefined) return null;
		const number = this.#attemptNumbers.next();
		const attempt = new Attempt({ job, taskIndex, number, machine, phase: "assigned" });
		attempt.setCharge(this.#accounting.allocateAdmitted(job.spec, admittedBy));
		this.register(attempt);
		return attempt;
	}

	/** Takes over an attempt of an earlier leader that a worker has listed. It counts whatever the rules say. */
	adoptAttempt(job: Job, taskIndex: number, number: number, machine: Machine): Attempt {
		const attempt = new Attempt({ job, taskIndex, number, machine, phase: "sent" });
		job.removeWaitingTask(taskIndex);
		attempt.setCharge(this.#accounting.allocateFound(job.spec));
		this.register(attempt);
		return attempt;
	}

	private register(attempt: Attempt): void {
		attempt.job.addAttempt(attempt);
		attempt.machine.addAttempt(attempt);
	}

	/**
	 * The attempt is proved over: it uses nothing any more, and its task waits again unless it is done. The next
	 * attempt of a relocated replica is assigned at once to the machine that was reserved for it.
	 */
	endAttempt(attempt: Attempt): void {
		const { job, machine, charge } = attempt;
		if (!job.removeAttempt(attempt)) return;
		machine.removeAttempt(attempt);
		const admittedBy = charge?.node;
		this.#accounting.release(job.spec, charge);
		job.requeueTask(attempt.taskIndex);
		this.requestPlacement();
		const target = attempt.endRelocation();
		if (target === null || job.ended) return;
		// Before anything else is placed. The controller that holds the allotment has not been told of the end, so the
		// place in its allotment is still the replica's.
		if (this.assignNextTask(job, target, admittedBy)) this.#relocationTargets.add(target);
	}

	/** Machines to which relocated replicas were assigned since the last call. */
	takeRelocationTargets(): ReadonlySet<Machine> {
		const targets = this.#relocationTargets;
		if (targets.size > 0) this.#relocationTargets = new Set();
		return targets;
	}
}
