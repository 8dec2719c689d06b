/** The leader's rounds of scaling: how many machines the fleet has, and which. */

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
import { type FleetSnapshot, takeFleetSnapshot } from "./fleet-load.js";
import { loadOf, nextScalingDecision, type ScalingCounters } from "./hill-climb.js";
import { ProvisioningTimes } from "./provisioning-times.js";
import { ReplicaCapacity } from "./replica-capacity.js";
import { ScaleIn } from "./scale-in.js";
import { ScaleOut, type ScaleOutOutcome } from "./scale-out.js";

/** Actions of the leader that the fleet calls. */
export interface FleetHooks {
	/** Runs the action in the process's serial executor. */
	post(action: () => void): void;
	/** True while this process may act as the leader. */
	active(): boolean;
	/**
	 * Called when the cloud has confirmed the machine's deletion: its record can be deleted, and its tasks wait
	 * again.
	 */
	onMachineDeleted(machine: Machine): void;
}

/** Dependencies and settings of the fleet. */
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
 * The cloud's list lags behind and may lack the machines that the previous leader created last: a round that
 * ran at the start of the term would create them again.
 */
const firstRoundDelayMs = 500;
const earlyRoundDelayMs = 50;

/**
 * Adds and removes machines in rounds of the hill climb. Machines for replicas, and for jobs that no machine of
 * the fleet can hold, are requested regardless of the load.
 */
export class Fleet {
	private readonly clusterState: ClusterState;
	private readonly climb: OperatorSettings["climb"];
	private readonly clock: Clock;
	private readonly log: Log;
	private readonly inventory: CloudInventory;
	private readonly scaleIn: ScaleIn;
	private readonly scaleOut: ScaleOut;
	private readonly drain: Drain;
	private readonly provisioningTimes: ProvisioningTimes;
	private readonly replicaCapacity: ReplicaCapacity;
	private counters: ScalingCounters = { up: 0, down: 0 };
	private nextRoundAt: number;

	constructor(options: FleetOptions) {
		const { clusterState, cloud, clock, settings, hooks, log } = options;
		const { post, active } = hooks;
		this.clusterState = clusterState;
		this.clock = clock;
		this.climb = settings.climb;
		this.log = log;
		this.nextRoundAt = clock.now() + firstRoundDelayMs;
		const onMachineDeleted = (machine: Machine) => {
			this.scaleOut.clearRefusal(machine);
			hooks.onMachineDeleted(machine);
		};
		const isDeleted = (machine: string) => this.scaleIn.isDeleted(machine);
		this.provisioningTimes = new ProvisioningTimes(settings.machines.boot_times);
		this.scaleIn = new ScaleIn(
			clusterState,
			cloud,
			clock,
			settings.machines.silent_extra_s * 1000,
			this.provisioningTimes,
			options.leaseMs,
			{ post, onMachineDeleted },
			log,
		);
		this.inventory = new CloudInventory(
			clusterState,
			cloud,
			clock,
			options.listLagMs,
			{ post, isDeleted },
			log,
		);
		this.scaleOut = new ScaleOut(
			clusterState,
			cloud,
			clock,
			settings.climb,
			options.requestPrefix,
			{
				post,
				active,
				isDeleted,
				isZoneIsolated: (zone) => this.scaleIn.isZoneIsolated(zone),
				onUnfilled: () => this.scheduleEarlyRound(),
			},
			log,
		);
		this.drain = new Drain(clusterState, settings.climb, log);
		this.replicaCapacity = new ReplicaCapacity(
			clusterState,
			clock,
			this.scaleOut,
			options.objectives,
			(job) => this.drain.cancelDrainingForJob(job),
		);
	}

	/** Called in each tick of the leader, while it may act. */
	tick(): void {
		const now = this.clock.now();
		this.updateOverdue(now);
		this.scaleIn.tick(now);
		this.inventory.tick(now);
		if (now < this.nextRoundAt || !this.inventory.firstReadFinished || !this.clusterState.reconciled) return;
		this.nextRoundAt = now + this.climb.round_s * 1000;
		this.runRound(takeFleetSnapshot(this.clusterState, now, this.climb));
	}

	/** Called when the machine has sent its first heartbeat to this leader. */
	onMachineRunning(machine: Machine): void {
		if (machine.lifecycle.createdByThisLeader) this.provisioningTimes.recordBoot(machine, this.clock.now());
	}

	/** True if the cloud has confirmed the machine's deletion. */
	isDeleted(machine: string): boolean {
		return this.scaleIn.isDeleted(machine);
	}

	/** True if this leader has read the cloud's machine list and the machine was missing from the latest one. */
	isMissingFromCloudList(machine: string): boolean {
		return this.inventory.isMissing(machine);
	}

	/**
	 * Updates which machines are overdue. An overdue machine does not count as capacity until its first
	 * heartbeat.
	 */
	private updateOverdue(now: number): void {
		for (const machine of this.clusterState.machines.values()) {
			const wasOverdue = machine.lifecycle.overdue;
			machine.lifecycle.setOverdue(this.provisioningTimes.isOverdue(machine, now));
			if (wasOverdue || !machine.lifecycle.overdue) continue;
			const { id, type, zone, lifecycle } = machine;
			const bootingS = Math.round((now - lifecycle.requestedAt) / 1000);
			this.log.info({ machineId: id, machineType: type.name, zone, bootingS }, "machine overdue");
		}
	}

	/** Schedules an early round, with the up counter set so that any load above the high threshold scales out. */
	private scheduleEarlyRound(): void {
		this.nextRoundAt = Math.min(this.nextRoundAt, this.clock.now() + earlyRoundDelayMs);
		this.counters.up = this.climb.up_past;
	}

	private runRound(snapshot: FleetSnapshot): void {
		if (this.replicaCapacity.ensureCapacity(snapshot)) return;
		const machineCount = snapshot.machines.length;
		// Without jobs the fleet shrinks to no machines. The first waiting job then scales out, regardless of the
		// counters.
		if (machineCount === 0) {
			this.addCapacity(snapshot);
			return;
		}
		if (this.addMachineForUnplaceableJob(snapshot)) return;
		this.drain.cancelDrainingForLongWaitingJob(snapshot.now);
		const { counters, action } = nextScalingDecision(
			this.counters,
			loadOf(snapshot.remainingWork, machineCount),
			this.clusterState.jobs.size === 0 ? machineCount + 1 : machineCount,
			(snapshot.cpus / machineCount) * snapshot.meanRemainingS,
			this.climb,
		);
		this.counters = counters;
		if (action !== "up" && counters.up === 0) this.scaleOut.onLoadNormal();
		const { remainingWork, cpus } = snapshot;
		this.log.debug(
			{ remainingWorkCpuS: Math.round(remainingWork), machines: machineCount, cpus, ...counters, action },
			"scaling round",
		);
		if (action === "up") this.addCapacity(snapshot);
		else if (action === "down") this.drain.startDraining(snapshot, this.replicaCapacity);
	}

	/**
	 * Cancels draining or, if no machine drains, requests machines for the oldest job for which the cloud has an
	 * offer.
	 */
	private addCapacity(snapshot: FleetSnapshot): void {
		if (!this.anyRunnableTask(snapshot.now) || this.drain.cancelDraining(snapshot)) return;
		for (const job of this.waitingJobsByAge(snapshot.now))
			if (this.requestMachineFor(job, snapshot.remainingWork, snapshot) !== "no offer") return;
	}

	private requestMachineFor(job: Job, remainingWork: number, snapshot: FleetSnapshot): ScaleOutOutcome {
		return this.scaleOut.request({ spec: job.spec, remainingWork }, snapshot);
	}

	private anyRunnableTask(now: number): boolean {
		for (const job of this.clusterState.jobs.values())
			if (this.clusterState.hasRunnableTask(job, now)) return true;
		return false;
	}

	/**
	 * Returns the jobs for which machines can be created, oldest first: if there is no offer for the oldest, the
	 * next may allow another type or zone. Of jobs with the same demands only the first is returned. Jobs that
	 * fail everywhere come last.
	 */
	private waitingJobsByAge(now: number): Job[] {
		const byDemand = new Map<string, Job>();
		const isBefore = (a: Job, b: Job) =>
			a.failures.failsEverywhere === b.failures.failsEverywhere
				? a.acceptedAt < b.acceptedAt
				: b.failures.failsEverywhere;
		for (const job of this.clusterState.jobs.values()) {
			// `ReplicaCapacity` requests machines for replicas, and only of the kinds that they need.
			if (job.isService || !this.clusterState.hasRunnableTask(job, now)) continue;
			const first = byDemand.get(job.demandKey);
			if (!first || isBefore(job, first)) byDemand.set(job.demandKey, job);
		}
		return [...byDemand.values()].sort((a, b) => (isBefore(a, b) ? -1 : 1));
	}

	/**
	 * Cancels draining of a machine or requests one for a job that no machine of the fleet could hold, even if
	 * empty; the round ends with that. If neither is possible the round continues, since other jobs need machines
	 * too. This includes jobs that fail everywhere: the cause may have disappeared, and they are tried again.
	 */
	private addMachineForUnplaceableJob(snapshot: FleetSnapshot): boolean {
		for (const job of this.clusterState.jobs.values()) {
			if (!job.hasReadyTask(snapshot.now)) continue;
			if (snapshot.machines.some((m) => fitsEmptyMachine(m, job))) continue;
			if (this.scaleOut.requestPending || this.drain.cancelDrainingForJob(job)) return true;
			if (this.requestMachineFor(job, 0, snapshot) === "requested") return true;
		}
		return false;
	}
}
