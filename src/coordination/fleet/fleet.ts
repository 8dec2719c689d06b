import type { Job } from "../../bookkeeping/job.js";
import type { Machine } from "../../bookkeeping/machine.js";
import { couldHold } from "../../bookkeeping/machine-fit.js";
import type { StartTimeObjective } from "../../protocol/settings/objectives.js";
import type { OperatorSettings } from "../../protocol/settings/operator.js";
import type { Clock } from "../ports/clock.js";
import type { CloudProvider } from "../ports/cloud.js";
import type { Log } from "../ports/log.js";
import type { ClusterState } from "../state/cluster-state.js";
import { CloudInventory } from "./cloud-inventory.js";
import { Drain } from "./drain.js";
import { type FleetSnapshot, takeFleetSnapshot } from "./fleet-load.js";
import { loadOf, nextScalingDecision, type ScalingCounters } from "./hill-climb.js";
import { ProvisioningTimes } from "./provisioning-times.js";
import { ReplicaCapacity } from "./replica-capacity.js";
import { ScaleIn } from "./scale-in.js";
import { ScaleOut, type ScaleOutOutcome } from "./scale-out.js";

export interface FleetHooks {
	post(command: () => void): void;
	active(): boolean;
	/** The cloud has confirmed the machine's deletion: its record can be deleted, and its tasks wait again. */
	onMachineDeleted(machine: Machine): void;
}

export interface FleetOptions {
	clusterState: ClusterState;
	cloud: CloudProvider;
	clock: Clock;
	settings: OperatorSettings;
	/** The times within which the tasks of some classes should start. */
	objectives: readonly StartTimeObjective[];
	/** The maximum lag of the cloud's machine list. */
	listLagMs: number;
	/** Duration of a worker's lease. */
	leaseMs: number;
	/** The prefix of the names of scale-out requests; never used by another term or process. */
	requestPrefix: string;
	hooks: FleetHooks;
	log: Log;
}

/**
 * The cloud's list lags behind and may lack the machines that the previous leader created last: a round that ran at the
 * start of the term would create them again.
 */
const firstRoundMs = 500;
const nextRoundSoonMs = 50;

/**
 * Adds and removes machines in rounds of the hill climb. Machines for replicas, and for jobs that no machine of the fleet
 * can hold, are requested regardless of the load.
 */
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
		const { clusterState, cloud, clock: time, settings, hooks, log } = options;
		const { post, active: authority } = hooks;
		this.clusterState = clusterState;
		this.time = time;
		this.climb = settings.climb;
		this.log = log;
		this.nextRound = time.now() + firstRoundMs;
		const gone = (machine: Machine) => {
			this.rentals.clearRefusal(machine);
			hooks.onMachineDeleted(machine);
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
			{ post, onMachineDeleted: gone },
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
				active: authority,
				isDeleted,
				isZoneIsolated: (zone) => this.returns.isZoneIsolated(zone),
				onUnfilled: () => this.hurry(),
			},
			log,
		);
		this.drain = new Drain(clusterState, settings.climb, log);
		this.replicas = new ReplicaCapacity(clusterState, time, this.rentals, options.objectives, (job) =>
			this.drain.cancelDrainingForJob(job),
		);
	}

	/** Called in each tick of the leader, with authority. */
	tick(): void {
		const now = this.time.now();
		this.noteOverdue(now);
		this.returns.tick(now);
		this.list.tick(now);
		if (now < this.nextRound || !this.list.firstReadFinished || !this.clusterState.reconciled) return;
		this.nextRound = now + this.climb.round_s * 1000;
		this.round(takeFleetSnapshot(this.clusterState, now, this.climb));
	}

	/** The machine has sent its first heartbeat to this leader. */
	onMachineRunning(machine: Machine): void {
		if (machine.lifecycle.createdByThisLeader) this.bootTimes.recordBoot(machine, this.time.now());
	}

	/** True if the cloud has confirmed the machine's deletion. */
	isDeleted(machine: string): boolean {
		return this.returns.isDeleted(machine);
	}

	/** True if this leader has read the cloud's machine list and the machine was missing from the latest one. */
	isMissingFromCloudList(machine: string): boolean {
		return this.list.isMissing(machine);
	}

	/** Updates which machines are overdue. An overdue machine does not count as capacity until its first heartbeat. */
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

	/** Schedules a round almost immediately, with the up counter set so that a load above the high threshold scales out. */
	private hurry(): void {
		this.nextRound = Math.min(this.nextRound, this.time.now() + nextRoundSoonMs);
		this.counters.up = this.climb.up_past;
	}

	private round(look: FleetSnapshot): void {
		if (this.replicas.ensureCapacity(look)) return;
		const count = look.machines.length;
		// Without jobs the fleet shrinks to no machines. The first waiting job then scales out, regardless of the counters.
		if (count === 0) {
			this.grow(look);
			return;
		}
		if (this.serveUnheld(look)) return;
		this.drain.cancelDrainingForLongWaitingJob(look.now);
		const { counters, action } = nextScalingDecision(
			this.counters,
			loadOf(look.remainingWork, count),
			this.clusterState.jobs.size === 0 ? count + 1 : count,
			(look.cpus / count) * look.meanRemainingS,
			this.climb,
		);
		this.counters = counters;
		if (action !== "up" && counters.up === 0) this.rentals.onLoadNormal();
		const { remainingWork: work, cpus } = look;
		this.log.debug({ work: Math.round(work), n: count, cpus, ...counters, action }, "scaling round");
		if (action === "up") this.grow(look);
		else if (action === "down") this.drain.startDraining(look, this.replicas);
	}

	/** Cancels draining or, if no machine drains, requests machines for the oldest job for which the cloud has an offer. */
	private grow(look: FleetSnapshot): void {
		if (!this.anyWaiting(look.now) || this.drain.cancelDraining(look)) return;
		for (const job of this.waitingByAge(look.now))
			if (this.rentFor(job, look.remainingWork, look) !== "nothing to be had") return;
	}

	private rentFor(job: Job, work: number, look: FleetSnapshot): ScaleOutOutcome {
		return this.rentals.request({ spec: job.spec, remainingWork: work }, look);
	}

	private anyWaiting(now: number): boolean {
		for (const job of this.clusterState.jobs.values())
			if (this.clusterState.hasRunnableTask(job, now)) return true;
		return false;
	}

	/**
	 * Returns the jobs for which machines can be created, oldest first: if there is no offer for the oldest, the next may
	 * allow another type or zone. Of jobs with the same demands only the first is returned. Jobs that fail everywhere
	 * come last.
	 */
	private waitingByAge(now: number): Job[] {
		const byDemand = new Map<string, Job>();
		const before = (a: Job, b: Job) =>
			a.failures.everywhere === b.failures.everywhere ? a.acceptedAt < b.acceptedAt : b.failures.everywhere;
		for (const job of this.clusterState.jobs.values()) {
			// `ReplicaCapacity` requests machines for replicas, and only of the kinds that they need.
			if (job.isService || !this.clusterState.hasRunnableTask(job, now)) continue;
			const best = byDemand.get(job.demandKey);
			if (!best || before(job, best)) byDemand.set(job.demandKey, job);
		}
		return [...byDemand.values()].sort((a, b) => (before(a, b) ? -1 : 1));
	}

	/**
	 * Cancels draining of a machine or requests one for a job that no machine of the fleet could hold, even if empty; the
	 * round ends with that. If neither is possible the round continues, since other jobs need machines too. This includes
	 * jobs that fail everywhere: the cause may have disappeared, and they are tried again.
	 */
	private serveUnheld(look: FleetSnapshot): boolean {
		for (const job of this.clusterState.jobs.values()) {
			if (!job.hasReadyTask(look.now)) continue;
			if (look.machines.some((m) => couldHold(m, job))) continue;
			if (this.rentals.requestPending || this.drain.cancelDrainingForJob(job)) return true;
			if (this.rentFor(job, 0, look) === "asked") return true;
		}
		return false;
	}
}
