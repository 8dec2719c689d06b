import { Attempt } from "../../bookkeeping/attempt.js";
import { Job } from "../../bookkeeping/job.js";
import type { Machine, OrphanedTask } from "../../bookkeeping/machine.js";
import { machineAllowed } from "../../bookkeeping/machine-fit.js";
import { QuotaLedger } from "../../bookkeeping/quota-ledger.js";
import { zoneRoom } from "../../bookkeeping/zone-rules.js";
import type { JobSpec, TaskDemand } from "../../protocol/model/job.js";
import { taskDemandOf } from "../../protocol/model/job.js";
import type { MachineType } from "../../protocol/model/machine.js";
import type { TeamQuota } from "../../protocol/model/team-quota.js";
import type { AdmissionControl } from "../ports/team-quota.js";

/** Attempts of one epoch; beyond them the leader must get itself a new epoch. */
export const attemptsPerTerm = 2 ** 22;

/**
 * What a leader knows of jobs, machines and attempts. Every start is decided
 * here, whoever proposed it, and nothing leaves the quotas before it is proved over.
 */
export class ClusterState {
	readonly jobs = new Map<string, Job>();
	readonly machines = new Map<string, Machine>();
	readonly quotas: QuotaLedger;
	private counter = 0;
	#placementRequested = false;
	/** Machines that may hold tasks of an earlier leader and have not been heard. */
	private readonly unreconciled = new Set<Machine>();
	/** Machines for which starts were decided apart from placing. */
	readonly relocationTargets = new Set<Machine>();
	/** Beside the leader's own check of limits; null: that alone. */
	private admission: AdmissionControl | null = null;
	/** Machines with tasks of jobs of which nothing is known, and how many. */
	private readonly unknownDemands = new Map<Machine, number>();

	constructor(
		readonly term: number,
		teams: TeamQuota[],
		readonly machineTypes: Map<string, MachineType>,
		/** A lease renewed this long ago, or earlier, has certainly run out. */
		readonly workerLeaseExpiryMs = Number.POSITIVE_INFINITY,
		/** What a task of a job that is over takes; null: not known. */
		private readonly demandOf: (job: string) => TaskDemand | null = () => null,
	) {
		this.quotas = new QuotaLedger(teams);
	}

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

	get attemptNumbersExhausted(): boolean {
		return this.counter >= attemptsPerTerm - 1;
	}

	/**
	 * Every machine that may hold tasks of an earlier leader has been heard or waited out, and
	 * it is known whose cores all tasks take that were found.
	 */
	get reconciled(): boolean {
		return this.unreconciled.size === 0 && this.unknownDemands.size === 0;
	}

	/** From now on a task needs an allotment to start; those that may run already are charged to some. */
	enableAdmission(admission: AdmissionControl): void {
		this.admission = admission;
		for (const machine of this.machines.values()) {
			for (const attempt of machine.attempts.values())
				attempt.setCharge(admission.chargeFound(taskDemandOf(attempt.job.spec)));
			for (const task of machine.orphans) if (task.demand) task.charge = admission.chargeFound(task.demand);
		}
		this.requestPlacement();
	}

	/**
	 * A task that nobody wants takes its team's cores until it is proved gone, such as one of a job
	 * that was cancelled while nobody led. Of a job unknown here anything may be at its limit.
	 */
	addOrphan(machine: Machine, task: Omit<OrphanedTask, "demand" | "charge">): void {
		const spec = this.jobs.get(task.jobId)?.spec;
		const demand = spec ? taskDemandOf(spec) : this.demandOf(task.jobId);
		const charge = demand && this.admission ? this.admission.chargeFound(demand) : null;
		machine.orphans.push({ ...task, demand, charge });
		this.count(machine, demand, 1);
	}

	clearOrphans(machine: Machine): void {
		for (const { demand, charge } of machine.orphans) {
			this.count(machine, demand, -1);
			if (charge) this.admission?.release(charge);
		}
		machine.orphans = [];
	}

	private count(machine: Machine, demand: TaskDemand | null, sign: 1 | -1): void {
		this.requestPlacement();
		if (demand && sign > 0) this.quotas.take(demand);
		else if (demand) this.quotas.giveBack(demand);
		else {
			const n = (this.unknownDemands.get(machine) ?? 0) + sign;
			if (n > 0) this.unknownDemands.set(machine, n);
			else this.unknownDemands.delete(machine);
		}
	}

	/** Jobs of tasks of which it is not known what they take. */
	jobsWithUnknownDemand(): Set<string> {
		const jobs = new Set<string>();
		for (const machine of this.unknownDemands.keys())
			for (const task of machine.orphans) if (task.demand === null) jobs.add(task.jobId);
		return jobs;
	}

	/** It has become known what tasks of a job take. */
	resolveDemand(job: string): void {
		const demand = this.demandOf(job);
		if (demand === null) return;
		for (const machine of [...this.unknownDemands.keys()]) {
			for (const task of machine.orphans) {
				if (task.jobId !== job || task.demand !== null) continue;
				this.count(machine, null, -1);
				task.demand = demand;
				task.charge = this.admission?.chargeFound(demand) ?? null;
				this.count(machine, demand, 1);
			}
		}
	}

	/** Asked for every decision of a start, so it is kept and not searched for. */
	get unreconciledMachines(): ReadonlySet<Machine> {
		return this.unreconciled;
	}

	/** The machine may hold tasks that nobody has listed yet. */
	markUnreconciled(machine: Machine): void {
		this.unreconciled.add(machine);
	}

	/** All its tasks are listed, or proved gone. */
	markReconciled(machine: Machine): void {
		this.unreconciled.delete(machine);
	}

	addJob(id: string, spec: JobSpec, at: number, revision: number): Job {
		const job = new Job(id, spec, at, revision);
		this.jobs.set(id, job);
		this.requestPlacement();
		return job;
	}

	private nextAttempt(): number {
		this.counter += 1;
		return this.term * attemptsPerTerm + this.counter;
	}

	/** Cores of the machines that take new work. */
	get schedulableCpus(): number {
		let cpus = 0;
		for (const machine of this.machines.values()) if (machine.schedulable) cpus += machine.type.cpus;
		return cpus;
	}

	/** Tasks of the job that may be anywhere, by zone. */
	tasksByZone(job: Job): Record<string, number> {
		const zones: Record<string, number> = {};
		for (const attempt of job.attempts.values()) {
			zones[attempt.machine.zone] = (zones[attempt.machine.zone] ?? 0) + 1;
		}
		return zones;
	}

	/** The same, without attempts that are to leave their machines. */
	tasksByZoneWithout(job: Job, leaving: readonly Attempt[]): Record<string, number> {
		const zones = this.tasksByZone(job);
		for (const { machine } of leaving) zones[machine.zone] = (zones[machine.zone] ?? 1) - 1;
		return zones;
	}

	/** Its tasks wait, and one of them may run now as far as its team's limit goes. */
	hasRunnableTask(job: Job, now: number): boolean {
		return job.hasReadyTask(now) && this.quotas.fitsLimit(job.spec);
	}

	/** `admittedBy`: whose allotment it counts against; null: it was found, and nobody knows. */
	private register(attempt: Attempt, admittedBy: string | null): void {
		const { job, machine } = attempt;
		const demand = taskDemandOf(job.spec);
		if (this.admission)
			attempt.setCharge(
				admittedBy === null ? this.admission.chargeFound(demand) : this.admission.charge(demand, admittedBy),
			);
		job.addAttempt(attempt);
		machine.hold(attempt);
		this.quotas.take(job.spec);
	}

	/** Why one more task of the job may not start on the machine now, or null. */
	assignmentRefusal(job: Job, machine: Machine, admittedBy = this.admission?.self ?? ""): string | null {
		const { spec } = job;
		if (!this.reconciled) return "not rebuilt";
		if (job.over || job.finalizing) return "job is over";
		if (!machine.schedulable) return "machine is not open";
		if (this.attemptNumbersExhausted) return "attempt numbers used up";
		if (machine.capacity.reservedFor !== null && machine.capacity.reservedFor !== job)
			return "machine is reserved";
		if (!machineAllowed(spec, machine)) return "machine not allowed";
		if (!machine.capacity.hasRoomFor(spec)) return "no room";
		if (machine.health.onProbation && machine.attempts.size > 0) return "machine is on trial";
		if (!this.quotas.fitsLimit(spec)) return "team is at its limit";
		if ((spec.singleZone || spec.spreadZones) && zoneRoom(spec, this.tasksByZone(job), machine.zone) < 1) {
			return "zone rule";
		}
		if (this.admission && !this.admission.mayStart(taskDemandOf(spec), admittedBy)) return "no allotment";
		return null;
	}

	/**
	 * Decides to start the job's next waiting task on the machine, if every rule allows it.
	 * `admittedBy`: the controller that has admitted it, this one if not said.
	 */
	assignNextTask(job: Job, machine: Machine, admittedBy = this.admission?.self ?? ""): Attempt | null {
		if (job.waitingTasks.length === 0 || this.assignmentRefusal(job, machine, admittedBy) !== null)
			return null;
		const taskIndex = job.takeWaitingTask();
		if (taskIndex === undefined) return null;
		const attempt = new Attempt({ job, taskIndex, number: this.nextAttempt(), machine, phase: "assigned" });
		this.register(attempt, admittedBy);
		return attempt;
	}

	/** Takes over an attempt of an earlier leader that a worker has listed. */
	adoptAttempt(job: Job, taskIndex: number, number: number, machine: Machine): Attempt {
		const attempt = new Attempt({ job, taskIndex, number, machine, phase: "sent" });
		job.removeWaitingTask(taskIndex);
		this.register(attempt, null);
		return attempt;
	}

	/** The attempt is proved over: it frees its place, and the task waits again unless done. */
	endAttempt(attempt: Attempt): void {
		const { job, machine } = attempt;
		if (!job.removeAttempt(attempt)) return;
		machine.release(attempt);
		this.quotas.giveBack(job.spec);
		const admittedBy = attempt.charge?.node;
		if (attempt.charge) this.admission?.release(attempt.charge);
		job.requeueTask(attempt.taskIndex);
		this.requestPlacement();
		const to = attempt.endRelocation();
		if (to === null) return;
		// It goes where room was kept for it, before anything else is placed.
		// Its holder has not been told of the end: the place in the allotment is still the replica's.
		if (!job.over && this.assignNextTask(job, to, admittedBy)) this.relocationTargets.add(to);
	}

	markTaskDone(job: Job, index: number): void {
		if (job.markTaskDone(index)) this.requestPlacement();
	}

	/** The job has ended in the store: nothing of it may start, and what runs is not wanted. */
	removeJob(job: Job): Attempt[] {
		job.end();
		this.jobs.delete(job.id);
		const still: Attempt[] = [];
		for (const attempt of [...job.attempts.values()]) {
			if (attempt.phase === "assigned") this.endAttempt(attempt);
			else {
				attempt.requestStop("job over", 0);
				still.push(attempt);
			}
		}
		this.requestPlacement();
		return still;
	}

	/** Everything on the machine is certainly gone. */
	clearMachine(machine: Machine): number {
		const all = [...machine.attempts.values()];
		for (const attempt of all) this.endAttempt(attempt);
		this.markReconciled(machine);
		machine.exitedTasks = [];
		this.clearOrphans(machine);
		return all.length;
	}

	/** Its lease has certainly expired; it may come back, but only with a later session. */
	expireLease(machine: Machine): number {
		machine.agent.expireLease();
		return this.clearMachine(machine);
	}

	removeMachine(machine: Machine): number {
		const n = this.clearMachine(machine);
		this.machines.delete(machine.id);
		this.requestPlacement();
		return n;
	}
}
