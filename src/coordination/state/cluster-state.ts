/** The leader's state of jobs, machines and attempts in one term. It changes only through this module. */

import { Attempt } from "../../bookkeeping/attempt.js";
import { Job } from "../../bookkeeping/job.js";
import type { Machine } from "../../bookkeeping/machine.js";
import { QuotaLedger } from "../../bookkeeping/quota-ledger.js";
import type {
	AttemptNumber,
	JobId,
	MachineId,
	NodeId,
	Revision,
	Term,
} from "../../protocol/model/identifiers.js";
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

/** The initial values of a cluster state, and its settings. */
export interface ClusterStateOptions {
	term: Term;
	teams: readonly TeamQuota[];
	machineTypes: Iterable<MachineType>;
	/**
	 * A worker's lease that was renewed longer ago than this, in milliseconds of the monotonic clock, has certainly
	 * expired; clock drift and a margin are included.
	 */
	workerLeaseExpiryMs?: number;
	/** Number of attempts that the leader has at most; by default any number. */
	maxAttempts?: number;
	/** Returns the demand of a task of a job that has ended; null: it is unknown. */
	demandOf?(jobId: JobId): TaskDemand | null;
}

/**
 * Owns the state of one term of leadership. All attempts are created and ended through this class, so that each one
 * counts against its machine and its team's quota from the decision to start it until it is confirmed to have ended.
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
	readonly #maxAttempts: number;
	#attemptCount = 0;
	#relocationTargets = new Set<Machine>();
	#placementRequested = false;

	constructor(options: ClusterStateOptions) {
		const { term, teams, machineTypes, workerLeaseExpiryMs, demandOf, maxAttempts } = options;
		this.term = term;
		this.quotas = new QuotaLedger(teams);
		this.#accounting = new QuotaAccounting(this.quotas);
		this.workerLeaseExpiryMs = workerLeaseExpiryMs ?? Number.POSITIVE_INFINITY;
		this.#rules = new AssignmentRules(this, this.#accounting);
		this.#orphans = new OrphanRegistry(this.#accounting, demandOf ?? (() => null));
		this.#attemptNumbers = new AttemptNumbers(term);
		this.#maxAttempts = maxAttempts ?? Number.POSITIVE_INFINITY;
		this.updateMachineTypes(machineTypes);
	}

	// --- placement requests ---

	/** True if an event since the latest placement may allow a task to start. */
	get placementRequested(): boolean {
		return this.#placementRequested;
	}

	/** Requests a placement, after an event that may allow a task to start. */
	requestPlacement(): void {
		this.#placementRequested = true;
	}

	/** Clears the request when a placement begins, which takes all events up to now into account. */
	clearPlacementRequest(): void {
		this.#placementRequested = false;
	}

	// --- jobs ---

	/** The jobs that have not ended in the store by this leader's replica, in the order in which they were added. */
	get jobs(): ReadonlyMap<JobId, Job> {
		return this.#jobs;
	}

	/**
	 * Adds a job.
	 *
	 * @param acceptedAt Wall-clock time of the submission, in milliseconds.
	 * @param revision Revision of the job's live record.
	 */
	addJob(id: JobId, spec: JobSpec, acceptedAt: number, revision: Revision): Job {
		const job = new Job(id, spec, acceptedAt, revision);
		this.#jobs.set(id, job);
		this.requestPlacement();
		return job;
	}

	/**
	 * Removes a job that has ended in the store: none of its tasks may start, and running ones are to be stopped.
	 *
	 * @returns The attempts that may be running. Attempts whose start was not sent yet are ended.
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

	/** Records that a task of the job has completed, in any of its attempts. */
	markTaskDone(job: Job, taskIndex: number): void {
		if (job.markTaskDone(taskIndex)) this.requestPlacement();
	}

	/** True if a waiting task of the job is ready to start and its team's limit allows one more task. */
	hasRunnableTask(job: Job, now: number): boolean {
		return job.hasReadyTask(now) && this.quotas.fitsLimit(job.spec);
	}

	// --- machine types ---

	/** The machine types by name: those that the cloud offers, and earlier ones, of which machines may exist. */
	get machineTypes(): ReadonlyMap<string, MachineType> {
		return this.#machineTypes;
	}

	/** Adds or updates the types that the cloud offers. Types that are no longer offered stay: machines may have them. */
	updateMachineTypes(machineTypes: Iterable<MachineType>): void {
		for (const type of machineTypes) this.#machineTypes.set(type.name, type);
	}

	// --- machines ---

	/** The machines that exist or may exist, in the order in which they were added. */
	get machines(): ReadonlyMap<MachineId, Machine> {
		return this.#machines;
	}

	/** Total CPUs of the machines that accept new tasks. */
	get schedulableCpus(): number {
		let cpus = 0;
		for (const machine of this.#machines.values()) if (machine.schedulable) cpus += machine.type.cpus;
		return cpus;
	}

	addMachine(machine: Machine): void {
		this.#machines.set(machine.id, machine);
	}

	/** Removes a machine whose deletion is confirmed, and ends its attempts. Returns their number. */
	removeMachine(machine: Machine): number {
		const attempts = this.clearMachine(machine);
		this.#machines.delete(machine.id);
		this.requestPlacement();
		return attempts;
	}

	/** Removes a machine that was known only from the cloud's list, without any heartbeat, and does not exist. */
	removeNonexistentMachine(machine: Machine): void {
		this.#machines.delete(machine.id);
	}

	/**
	 * Ends all attempts on a machine whose worker's lease has certainly expired, since the worker has then killed all
	 * its tasks. The worker may reconnect, but only with a later agent epoch. Returns the number of attempts.
	 */
	expireLease(machine: Machine): number {
		machine.agent.expireLease();
		return this.clearMachine(machine);
	}

	/** Ends all attempts and removes all orphaned tasks of the machine. Returns the number of attempts. */
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
	 * True if no machine may run unknown tasks of an earlier leader, and the demand of every orphaned task is known. No
	 * task starts before.
	 */
	get reconciled(): boolean {
		return this.#unreconciled.size === 0 && this.#orphans.allDemandsKnown;
	}

	/** The machines that may run tasks of an earlier leader and have not listed them to this leader yet. */
	get unreconciledMachines(): ReadonlySet<Machine> {
		return this.#unreconciled;
	}

	/** Marks a machine that may run tasks which it has not listed yet. */
	markUnreconciled(machine: Machine): void {
		this.#unreconciled.add(machine);
	}

	/** Marks a machine whose tasks are all listed, or are confirmed to have ended. */
	markReconciled(machine: Machine): void {
		this.#unreconciled.delete(machine);
	}

	// --- orphaned tasks ---

	/** Adds an orphaned task that the machine lists. It uses its team's quota until it is confirmed to have ended. */
	addOrphan(machine: Machine, ref: AttemptRef): void {
		const spec = this.#jobs.get(ref.jobId)?.spec;
		this.#orphans.add(machine, ref, spec ? taskDemandOf(spec) : null);
		this.requestPlacement();
	}

	/** Removes the machine's orphaned tasks, because they have ended or a new heartbeat replaces the list. */
	clearOrphans(machine: Machine): void {
		if (this.#orphans.clear(machine)) this.requestPlacement();
	}

	/** Returns the jobs that have orphaned tasks of unknown demand. */
	jobsWithUnknownDemand(): Set<JobId> {
		return this.#orphans.jobsWithUnknownDemand();
	}

	/** Sets the demand of the job's orphaned tasks if it is known by now. */
	resolveDemand(jobId: JobId): void {
		if (this.#orphans.resolveDemand(jobId)) this.requestPlacement();
	}

	// --- quota ---

	/** Requires an allotment for every start from now on, and charges all tasks that may be running to allotments. */
	enableAdmissionControl(admission: AdmissionControl): void {
		this.#accounting.enableAdmissionControl(admission);
		for (const machine of this.#machines.values()) {
			for (const attempt of machine.attempts.values())
				attempt.setCharge(this.#accounting.chargeUnattributed(taskDemandOf(attempt.job.spec)));
			this.#orphans.chargeAll(machine);
		}
		this.requestPlacement();
	}

	// --- attempts ---

	/** True if the range of the term's attempt numbers is known. No task starts before. */
	get attemptNumbersAvailable(): boolean {
		return this.#attemptNumbers.available;
	}

	/** Sets the range of attempt numbers that the leader has reserved, by its index. */
	useReservedAttemptRange(index: number): void {
		this.#attemptNumbers.useReservedRange(index);
		this.requestPlacement();
	}

	/** True if the attempt numbers of the term are used up: the leader must resign. */
	get attemptNumbersExhausted(): boolean {
		return this.#attemptNumbers.exhausted;
	}

	/** Number of further attempts that the leader can hold. */
	get attemptHeadroom(): number {
		return Math.max(0, this.#maxAttempts - this.#attemptCount);
	}

	/** Returns why one more task of the job may not start on the machine now; null: it may. */
	assignmentRefusal(
		job: Job,
		machine: Machine,
		admittedBy: NodeId = this.#accounting.leaderNode,
	): AssignmentRefusal | null {
		return this.#rules.refusal(job, machine, admittedBy);
	}

	/**
	 * Assigns the job's next waiting task to the machine, if every rule allows it.
	 *
	 * @param admittedBy The controller to whose allotment the task is charged, by default this one; see
	 *   QuotaAccounting.
	 * @returns The new attempt; null: a rule forbids it, or no task is waiting.
	 */
	assignNextTask(
		job: Job,
		machine: Machine,
		admittedBy: NodeId = this.#accounting.leaderNode,
	): Attempt | null {
		if (job.waitingTasks.count === 0 || this.assignmentRefusal(job, machine, admittedBy) !== null)
			return null;
		const taskIndex = job.dequeueWaitingTask();
		if (taskIndex === undefined) return null;
		const number = this.#attemptNumbers.next();
		const attempt = new Attempt({ job, taskIndex, number, machine, phase: "assigned" });
		attempt.setCharge(this.#accounting.allocateAdmitted(job.spec, admittedBy));
		this.register(attempt);
		return attempt;
	}

	/** Adds an attempt of an earlier leader that a worker has listed, even if it violates the rules for starts. */
	adoptAttempt(job: Job, taskIndex: number, number: AttemptNumber, machine: Machine): Attempt {
		const attempt = new Attempt({ job, taskIndex, number, machine, phase: "sent" });
		attempt.setCharge(this.#accounting.allocateUnattributed(job.spec));
		this.register(attempt);
		return attempt;
	}

	private register(attempt: Attempt): void {
		this.#attemptCount += 1;
		attempt.job.addAttempt(attempt);
		attempt.machine.addAttempt(attempt);
	}

	/**
	 * Removes an attempt that is confirmed to have ended: releases its resources and quota, and requeues its task unless
	 * the task is done. The next attempt of a relocated replica is assigned at once to the machine with its reservation.
	 */
	endAttempt(attempt: Attempt): void {
		const { job, machine, charge } = attempt;
		if (!job.removeAttempt(attempt)) return;
		this.#attemptCount -= 1;
		machine.removeAttempt(attempt);
		const admittedBy = charge?.node;
		this.#accounting.release(job.spec, charge);
		job.requeueTask(attempt.taskIndex);
		this.requestPlacement();
		const target = attempt.endRelocation();
		if (target === null || job.ended) return;
		// This precedes any other placement. The controller that holds the allotment has not received the end of the
		// attempt yet, so it cannot have admitted another task in place of the replica.
		if (this.assignNextTask(job, target, admittedBy)) this.#relocationTargets.add(target);
	}

	/** Returns the machines to which relocated replicas were assigned since the previous call. */
	consumeRelocationTargets(): ReadonlySet<Machine> {
		const targets = this.#relocationTargets;
		if (targets.size > 0) this.#relocationTargets = new Set();
		return targets;
	}
}
