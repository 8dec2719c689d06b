import type { Job } from "../../bookkeeping/job.js";
import type { Machine } from "../../bookkeeping/machine.js";
import { fitsEmptyMachine } from "../../bookkeeping/machine-fit.js";
import type { StartTimeObjective } from "../../protocol/settings/objectives.js";
import type { OperatorSettings } from "../../protocol/settings/operator.js";
import type { Clock } from "../ports/clock.js";
import type { CloudProvider } from "../ports/cloud.js";
import type { Log } from "../ports/log.js";
import type { ClusterState } from "../state/cluster-state.js";
import { CloudInventory } from "./cloud-inventory.js";
import { Drain } from "./drain.js";
import { type FleetSnapshot, fleetSnapshot } from "./fleet-load.js";
import { loadOf, nextScalingDecision, type ScalingCounters } from "./hill-climb.js";
import { ProvisioningTimes } from "./provisioning-times.js";
import { ReplicaCapacity } from "./replica-capacity.js";
import { ScaleIn } from "./scale-in.js";
import { ScaleOut, type ScaleOutOutcome } from "./scale-out.js";

export interface FleetHooks {
	post(command: () => void): void;
	authority(): boolean;
	/** A machine is proved gone: its record may go, and its tasks wait again. */
	gone(machine: Machine): void;
}

export interface FleetOptions {
	clusterState: ClusterState;
	cloud: CloudProvider;
	time: Clock;
	settings: OperatorSettings;
	/** How soon tasks of which classes are to start. */
	objectives: readonly StartTimeObjective[];
	/** How late the cloud's machine list is. */
	listLagMs: number;
	/** Lease of a worker. */
	leaseMs: number;
	/** Begins the names of rental requests; never used by another term or process. */
	requestPrefix: string;
	hooks: FleetHooks;
	log: Log;
}

/**
 * Machines that the leader before rented last are not listed yet: a first round before the
 * first list would rent them again.
 */
const firstRoundMs = 500;
const nextRoundSoonMs = 50;

/** Rents and returns machines: the rounds of the hill climb and their exceptions. */
export class Fleet {
	private readonly clusterState: ClusterState;
	private readonly climb: OperatorSettings["climb"];
	private readonly time: Clock;
	private readonly log: Log;
	private readonly list: CloudInventory;
	private readonly returns: ScaleIn;
	private readonly rentals: ScaleOut;
	private readonly drain: Drain;
	private readonly bootTimes: ProvisioningTimes;
	private readonly replicas: ReplicaCapacity;
	private counters: ScalingCounters = { up: 0, down: 0 };
	private nextRound: number;

	constructor(options: FleetOptions) {
		const { clusterState, cloud, time, settings, hooks, log } = options;
		const { post, authority } = hooks;
		this.clusterState = clusterState;
		this.time = time;
		this.climb = settings.climb;
		this.log = log;
		this.nextRound = time.now() + firstRoundMs;
		const gone = (machine: Machine) => {
			this.rentals.allowAgain(machine);
			hooks.gone(machine);
		};
		const isDeleted = (machine: string) => this.returns.isDeleted(machine);
		this.bootTimes = new ProvisioningTimes(settings.machines.boot_times);
		this.returns = new ScaleIn(
			clusterState,
			cloud,
			time,
			settings.machines.silent_extra_s * 1000,
			this.bootTimes,
			options.leaseMs,
			{ post, gone },
			log,
		);
		this.list = new CloudInventory(clusterState, cloud, time, options.listLagMs, { post, isDeleted }, log);
		this.rentals = new ScaleOut(
			clusterState,
			cloud,
			time,
			settings.climb,
			options.requestPrefix,
			{
				post,
				authority,
				isDeleted,
				isCutOff: (zone) => this.returns.isCutOff(zone),
				unfilled: () => this.hurry(),
			},
			log,
		);
		this.drain = new Drain(clusterState, settings.climb, log);
		this.replicas = new ReplicaCapacity(clusterState, time, this.rentals, options.objectives, (job) =>
			this.drain.cancelDrainingFor(job),
		);
	}

	/** Called a few times a second, in the queue, with authority. */
	tick(): void {
		const now = this.time.now();
		this.noteOverdue(now);
		this.returns.tick(now);
		this.list.tick(now);
		if (now < this.nextRound || !this.list.looked || !this.clusterState.reconciled) return;
		this.nextRound = now + this.climb.round_s * 1000;
		this.round(fleetSnapshot(this.clusterState, now, this.climb));
	}

	/** The machine has reported to this leader for the first time. */
	onMachineRunning(machine: Machine): void {
		if (machine.lifecycle.createdByThisLeader) this.bootTimes.noteUp(machine, this.time.now());
	}

	/** The machine's return was answered. */
	isDeleted(machine: string): boolean {
		return this.returns.isDeleted(machine);
	}

	/** The cloud has named its machines to this leader, and this one is not among them. */
	unlisted(machine: string): boolean {
		return this.list.lacks(machine);
	}

	/** What was rented and is late no longer counts as coming; it does again once it is up. */
	private noteOverdue(now: number): void {
		for (const machine of this.clusterState.machines.values()) {
			const before = machine.lifecycle.overdue;
			machine.lifecycle.setOverdue(this.bootTimes.isOverdue(machine, now));
			if (before || !machine.lifecycle.overdue) continue;
			const { id, type, zone, lifecycle } = machine;
			const bootingS = Math.round((now - lifecycle.requestedAt) / 1000);
			this.log.info({ machine: id, type: type.name, zone, bootingS }, "machine overdue");
		}
	}

	/** The up counter acts again in a round that comes at once. */
	private hurry(): void {
		this.nextRound = Math.min(this.nextRound, this.time.now() + nextRoundSoonMs);
		this.counters.up = this.climb.up_past;
	}

	private round(look: FleetSnapshot): void {
		if (this.replicas.serve(look)) return;
		const count = look.machines.length;
		// With nothing to run, no machine is kept; the first job to wait rents one.
		if (count === 0) {
			this.grow(look);
			return;
		}
		if (this.serveUnheld(look)) return;
		this.drain.cancelDrainingForWaiting(look.now);
		const { counters, action } = nextScalingDecision(
			this.counters,
			loadOf(look.work, count),
			this.clusterState.jobs.size === 0 ? count + 1 : count,
			(look.cpus / count) * look.secondsLeft,
			this.climb,
		);
		this.counters = counters;
		if (action !== "up" && counters.up === 0) this.rentals.loadIsDown();
		const { work, cpus } = look;
		this.log.debug({ work: Math.round(work), n: count, cpus, ...counters, action }, "scaling round");
		if (action === "up") this.grow(look);
		else if (action === "down") this.drain.startDraining(look, this.replicas);
	}

	/** Takes marks back, or else rents for the oldest work for which something is to be had. */
	private grow(look: FleetSnapshot): void {
		if (!this.anyWaiting(look.now) || this.drain.cancelDraining(look)) return;
		for (const job of this.waitingByAge(look.now))
			if (this.rentFor(job, look.work, look) !== "nothing to be had") return;
	}

	private rentFor(job: Job, work: number, look: FleetSnapshot): ScaleOutOutcome {
		return this.rentals.request({ spec: job.spec, work }, look);
	}

	private anyWaiting(now: number): boolean {
		for (const job of this.clusterState.jobs.values())
			if (this.clusterState.hasRunnableTask(job, now)) return true;
		return false;
	}

	/**
	 * Jobs that machines can be rented for, oldest first: where nothing is to be had for the
	 * oldest, the next may want another type or zone. Of jobs with the same demands one stands
	 * for all; what fails everywhere comes last.
	 */
	private waitingByAge(now: number): Job[] {
		const byDemand = new Map<string, Job>();
		const before = (a: Job, b: Job) =>
			a.failures.failsEverywhere === b.failures.failsEverywhere
				? a.acceptedAt < b.acceptedAt
				: b.failures.failsEverywhere;
		for (const job of this.clusterState.jobs.values()) {
			// Replicas have machines rented by themselves, and of no other kind than they need.
			if (job.isService || !this.clusterState.hasRunnableTask(job, now)) continue;
			const best = byDemand.get(job.demandKey);
			if (!best || before(job, best)) byDemand.set(job.demandKey, job);
		}
		return [...byDemand.values()].sort((a, b) => (before(a, b) ? -1 : 1));
	}

	/**
	 * For a job that no counted machine could hold one is unmarked or rented, and that is this
	 * round. Where neither can be had the round goes on: the others want machines too. What
	 * failed everywhere may do so no more, and is tried again as well.
	 */
	private serveUnheld(look: FleetSnapshot): boolean {
		for (const job of this.clusterState.jobs.values()) {
			if (!job.hasReadyTask(look.now)) continue;
			if (look.machines.some((m) => fitsEmptyMachine(m, job))) continue;
			if (this.rentals.pending || this.drain.cancelDrainingFor(job)) return true;
			if (this.rentFor(job, 0, look) === "asked") return true;
		}
		return false;
	}
}
