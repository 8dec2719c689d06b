import type { JobSpec, TaskDemand } from "../protocol/model/job.js";
import type { MachineType } from "../protocol/model/machine.js";
import type { Attempt, Job } from "./job.js";
import type { QuotaCharge } from "./quota-ledger.js";

export interface UnwantedTask {
	job: string;
	index: number;
	attempt: number;
	demand: TaskDemand | null;
	/** What it takes of its team's allotments; null: not known, or no allotments are used. */
	charge: QuotaCharge | null;
}

/** A rented machine as its leader sees it. */
export class Machine {
	endpoint = "";
	session = 0;
	reportNumber = -1;
	/** Reports of sessions below this are of a lease that has certainly expired. */
	leastSession = 0;
	/** Its record is in the store, so a later leader knows that tasks may be here. */
	durable = false;
	/** It has reported since this leader's token reached it. */
	confirmed = false;
	up = false;
	/** Its lease expired unanswered. */
	leaseExpired = false;
	/** Answers in a row that its reports show to have had no effect. */
	ineffectiveAnswers = 0;
	/** Steady time since which its reports arrive but no answer reaches it, and of the last sign of that. */
	unreachableSince: number | null = null;
	lastIneffectiveAt = -Infinity;
	/**
	 * Steady time: since when this leader knows of it, rented, last report, last answer
	 * that may have renewed its lease.
	 */
	readonly knownAt: number;
	rentedAt: number;
	reportedAt = -Infinity;
	answeredAt: number;
	/** Steady time at which it was last told to report to another controller. */
	redirectedAt = -Infinity;
	/** Steady time at which it was last put on trial or set aside. */
	probationAt = -Infinity;
	/** Rented by this leader, which thus knows when that was. */
	rentedHere = false;
	/** Booting for so long that another is to be had in its place. */
	overdue = false;
	/** Marked by the hill climb to drain and go back. */
	draining = false;
	/** Kept free of new work until a task of this job fits. */
	reservedFor: Job | null = null;
	/** Set aside as faulty or slow. */
	quarantined = false;
	/** Set aside for failures, which may turn out to be the jobs' fault. */
	quarantinedForFailures = false;
	/** Once a return was requested, nothing starts here any more, whatever the answer. */
	returning = false;
	/** Known from a list alone: no request of this leader and no report names it. */
	onlyListed = false;
	/** Steady time at which the cloud takes it away. */
	takenAt: number | null = null;
	readonly attempts = new Map<string, Attempt>();
	usedCpus = 0;
	usedGpus = 0;
	usedMemory = 0;
	/** Kept for replicas that are on their way here. */
	private readonly reserved = { cpus: 0, gpus: 0, memory: 0 };
	/** Images that it should have, latest last. */
	readonly images = new Set<string>();
	/** Jobs of which tasks failed here since one last succeeded here. */
	readonly failedJobs = new Set<Job>();
	/** After a failure only one task at a time is risked until one succeeds. */
	onProbation = false;
	/** Runs finished here against the mean of their jobs, to find machines that are much too slow. */
	runs = 0;
	runRatio = 0;
	/** Exited attempts that it still lists. */
	exited: { job: string; index: number; attempt: number; done: boolean }[] = [];
	/** An exited attempt left unforgotten, to be forgotten when a report is wanted. */
	reminder: { job: string; index: number; attempt: number } | null = null;
	/** Attempts that it lists and that nobody wants, with what they take, if that is known. */
	unwanted: UnwantedTask[] = [];

	constructor(
		readonly id: string,
		readonly type: MachineType,
		readonly zone: string,
		readonly spot: boolean,
		now: number,
	) {
		this.knownAt = now;
		this.rentedAt = now;
		this.answeredAt = now;
	}

	/** May new tasks be placed here? */
	get schedulable(): boolean {
		return this.up && this.confirmed && this.durable && this.countsAsCapacity;
	}

	/** Counts as capacity that is there or on its way. */
	get countsAsCapacity(): boolean {
		return !this.draining && !this.overdue && this.usable;
	}

	/** What was decided for it may still be started: nothing but the hill climb's mark is in the way. */
	get takesDecidedStarts(): boolean {
		return this.up && this.confirmed && this.durable && this.usable;
	}

	/** Nothing but a mark of the hill climb can keep it from being used. */
	get usable(): boolean {
		return (
			!this.leaseExpired &&
			!this.quarantined &&
			!this.returning &&
			this.unreachableSince === null &&
			this.takenAt === null
		);
	}

	/** After a failure: one task at a time, until one has succeeded or the trial is over. */
	startProbation(now: number): void {
		this.onProbation = true;
		this.probationAt = now;
	}

	/** Takes nothing new; it goes back once it is empty. */
	quarantine(now: number): void {
		this.quarantined = true;
		this.probationAt = now;
	}

	releaseFromQuarantine(): void {
		this.quarantined = false;
		this.quarantinedForFailures = false;
	}

	/**
	 * Trouble ends, and the tasks that are here may run for long: so a trial ends by itself,
	 * and a machine set aside that could not go back yet gets another.
	 */
	endProbation(now: number): void {
		if (this.quarantined && now - this.probationAt > asideMs) {
			this.releaseFromQuarantine();
			this.failedJobs.clear();
			this.runs = 0;
			this.startProbation(now);
		} else if (this.onProbation && now - this.probationAt > trialMs) this.onProbation = false;
	}

	get hourlyPrice(): number {
		return this.spot ? this.type.spotPrice : this.type.price;
	}

	get freeCpus(): number {
		return this.type.cpus - this.usedCpus - this.reserved.cpus;
	}
	get freeGpus(): number {
		return this.type.gpus - this.usedGpus - this.reserved.gpus;
	}
	get freeMemory(): number {
		return this.type.memoryGb - this.usedMemory - this.reserved.memory;
	}

	/** Keeps room for a task of the job, or gives it back. */
	reserve({ cpus, gpus, memoryGb }: JobSpec, sign: 1 | -1): void {
		this.reserved.cpus += sign * cpus;
		this.reserved.gpus += sign * gpus;
		this.reserved.memory += sign * memoryGb;
	}

	hasRoomFor({ cpus, gpus, memoryGb }: JobSpec): boolean {
		return (
			this.freeCpus + slack >= cpus && this.freeGpus + slack >= gpus && this.freeMemory + slack >= memoryGb
		);
	}

	/** Will go away, or ought to: replicas that are here had better be elsewhere. */
	get leaving(): boolean {
		return this.takenAt !== null || this.draining || this.quarantined || this.unreachableSince !== null;
	}

	hold(key: string, attempt: Attempt): void {
		const { spec } = attempt.job;
		this.attempts.set(key, attempt);
		this.usedCpus += spec.cpus;
		this.usedGpus += spec.gpus;
		this.usedMemory += spec.memoryGb;
	}

	release(key: string, attempt: Attempt): void {
		if (this.attempts.get(key) !== attempt) return;
		const { spec } = attempt.job;
		this.attempts.delete(key);
		if (this.attempts.size === 0) {
			// Sums of decimals drift; an empty machine uses nothing.
			this.usedCpus = 0;
			this.usedGpus = 0;
			this.usedMemory = 0;
			return;
		}
		this.usedCpus -= spec.cpus;
		this.usedGpus -= spec.gpus;
		this.usedMemory -= spec.memoryGb;
	}

	/** Remembers an image, forgetting the least recently used beyond the cache's rough size. */
	noteImage(image: string, most = 12): void {
		this.images.delete(image);
		this.images.add(image);
		if (this.images.size > most) {
			const oldest = this.images.values().next().value;
			if (oldest !== undefined) this.images.delete(oldest);
		}
	}
}

const slack = 1e-6;
const asideMs = 40_000;
const trialMs = 20_000;

/** Fewer runs than this say nothing about a machine's speed: tasks of one job differ by half. */
const runsToJudge = 10;
/** Machines of one type differ by a tenth. */
const tooSlow = 1.7;

export function noteRun(machine: Machine, seconds: number, meanSeconds: number): void {
	machine.runs += 1;
	machine.runRatio += (seconds / meanSeconds - machine.runRatio) / Math.min(machine.runs, runsToJudge);
}

/**
 * Whether a machine runs its tasks much slower than others of its type do theirs.
 * The ratios alone would mislead: a job's short tasks end first, so while it runs its
 * mean is too low and every ratio too high.
 */
export function muchTooSlow(machine: Machine, all: Iterable<Machine>): boolean {
	if (machine.runs < runsToJudge) return false;
	let others = 0;
	let sum = 0;
	for (const other of all) {
		if (other === machine || other.type.name !== machine.type.name || other.runs < runsToJudge) continue;
		others += 1;
		sum += other.runRatio;
	}
	return others >= 2 && machine.runRatio > (tooSlow * sum) / others;
}

/** A machine of a type that the cloud no longer names can hold tasks, but gets no new ones. */
export function unknownType(name: string): MachineType {
	return {
		name,
		cpus: 0,
		gpus: 0,
		memoryGb: 0,
		cacheGb: 0,
		fetchGbPerS: 1,
		price: 0,
		spotPrice: 0,
		bootS: 60,
		zones: [],
	};
}
