/** Capacity for the replicas of service jobs, present and expected ones. */

import type { Job } from "../../bookkeeping/job.js";
import type { Machine } from "../../bookkeeping/machine.js";
import { tasksByZone, tasksByZoneExcluding, zoneTaskHeadroom } from "../../bookkeeping/zone-rules.js";
import type { JobSpec } from "../../protocol/model/job.js";
import type { StartTimeObjective } from "../../protocol/settings/objectives.js";
import { freeOrPreemptibleResources, freeResources, SimulatedCapacity } from "../placement/free-capacity.js";
import type { Clock } from "../ports/clock.js";
import type { ClusterState } from "../state/cluster-state.js";
import { assumedServiceSpec, classesWithFastStart } from "./expected-services.js";
import type { FleetSnapshot } from "./fleet-load.js";
import type { ScaleOut, ScaleOutNeed } from "./scale-out.js";

/** A service job submitted within this time is expected to be submitted once more. */
const recentJobWindowMs = 60_000;

/** Preemption usually provides capacity for waiting replicas within this time. */
const preemptionWindowMs = 3000;

/** Replicas of a job that do not fit on the machines. */
interface ReplicaShortage {
	spec: JobSpec;
	replicaCount: number;
	/** The job's replicas by zone, including the simulated placement of those that fit. */
	replicasByZone: Record<string, number>;
}

/**
 * Requests machines for replicas, which cannot wait for the load to rise: for those that fit nowhere and, in
 * advance, for as many as were submitted recently.
 */
export class ReplicaCapacity {
	/** Classes with an array job in this term. */
	private readonly arrayClasses = new Set<string>();
	/** Monotonic time since which each service job has had waiting replicas. */
	private readonly waitingSince = new Map<Job, number>();

	constructor(
		private readonly clusterState: ClusterState,
		private readonly clock: Clock,
		private readonly scaleOut: ScaleOut,
		private readonly objectives: readonly StartTimeObjective[],
		/** Cancels draining of one machine on which a task of the job fits; false: there is none. */
		private readonly cancelDrainingFor: (job: Job) => boolean,
	) {}

	/**
	 * Provides capacity for replicas; true if that was necessary and a request is pending or draining was
	 * cancelled.
	 */
	ensureCapacity(snapshot: FleetSnapshot): boolean {
		this.updateWaitingSince(snapshot.now);
		const freeCapacity = new SimulatedCapacity(freeResources);
		const capacityWithPreemption = new SimulatedCapacity(freeOrPreemptibleResources);
		for (const job of this.clusterState.jobs.values()) {
			if (!job.isService) continue;
			const shortageOfWaiting = this.shortageOfWaiting(
				job,
				snapshot,
				this.expectsPreemption(job, snapshot.now) ? capacityWithPreemption : freeCapacity,
			);
			const shortage = shortageOfWaiting ?? this.shortageOfLeaving(job, snapshot, freeCapacity);
			if (!shortage) continue;
			if (
				this.scaleOut.requestPending ||
				this.cancelDrainingFor(job) ||
				this.requestMachines(shortage, snapshot)
			)
				return true;
		}
		return this.ensureExpectedCapacity(snapshot);
	}

	private updateWaitingSince(now: number): void {
		for (const job of this.waitingSince.keys())
			if (job.waitingTasks.count === 0) this.waitingSince.delete(job);
		for (const job of this.clusterState.jobs.values())
			if (job.isService && job.waitingTasks.count > 0 && !this.waitingSince.has(job))
				this.waitingSince.set(job, now);
	}

	/** True while the job's waiting replicas are expected to get capacity by preemption. */
	private expectsPreemption(job: Job, now: number): boolean {
		return now - (this.waitingSince.get(job) ?? now) < preemptionWindowMs;
	}

	/** Returns the waiting replicas that do not fit on machines that are running or being provisioned. */
	private shortageOfWaiting(
		job: Job,
		snapshot: FleetSnapshot,
		capacity: SimulatedCapacity,
	): ReplicaShortage | null {
		if (!job.hasReadyTask(snapshot.now)) return null;
		return shortageOf(job, job.waitingTasks.count, snapshot, capacity, tasksByZone(job));
	}

	/** Returns the replicas that have to leave their machine and fit nowhere else. Nothing is preempted for them. */
	private shortageOfLeaving(
		job: Job,
		snapshot: FleetSnapshot,
		capacity: SimulatedCapacity,
	): ReplicaShortage | null {
		const leaving = [...job.attempts.values()].filter(
			(a) => a.machine.needsEvacuation && a.relocationTarget === null,
		);
		if (leaving.length === 0) return null;
		return shortageOf(job, leaving.length, snapshot, capacity, tasksByZoneExcluding(job, leaving));
	}

	/**
	 * Provides capacity for expected replicas. A machine takes longer to boot than a replica may wait, so the
	 * service jobs of the last minute are expected to be submitted once more, and capacity is kept on machines
	 * that they may use. Array jobs can run there meanwhile, since replicas preempt them.
	 */
	private ensureExpectedCapacity(snapshot: FleetSnapshot): boolean {
		const { machines } = snapshot;
		const shortage = this.shortageOfExpected(machines) ?? this.shortageAfterZoneLoss(machines);
		return shortage !== null && (this.scaleOut.requestPending || this.requestMachines(shortage, snapshot));
	}

	/**
	 * Returns an expected job that would lack capacity on the remaining machines; null: none would.
	 *
	 * @param machines The machines of the fleet now.
	 * @param remaining Those that would remain.
	 */
	unplaceableExpectedSpec(machines: Machine[], remaining: Machine[]): JobSpec | null {
		const shortage = this.shortageOfExpected(remaining);
		if (shortage) return shortage.spec;
		// If the fleet cannot tolerate the loss of a zone now, no machine is kept for that case.
		if (this.shortageAfterZoneLoss(machines)) return null;
		return this.shortageAfterZoneLoss(remaining)?.spec ?? null;
	}

	/** Returns the shortage of the first expected job that does not fit on the machines; null: all fit. */
	private shortageOfExpected(machines: Machine[]): ReplicaShortage | null {
		const capacity = new SimulatedCapacity(freeOrPreemptibleResources);
		for (const spec of this.expectedSpecs()) {
			const replicasByZone: Record<string, number> = {};
			const unplaced = capacity.placeTasks(spec, spec.taskCount, machines, replicasByZone);
			if (unplaced > 0) return { spec, replicaCount: unplaced, replicasByZone };
		}
		return null;
	}

	/**
	 * Returns the shortage of the first expected job that would not fit after the loss of some zone; null: all
	 * fit. If machines for replicas that are spread over zones existed in only two zones and one were isolated,
	 * they could not be placed: a machine in a third zone takes longer to boot than they may wait.
	 */
	private shortageAfterZoneLoss(machines: Machine[]): ReplicaShortage | null {
		const spreadSpecs = this.expectedSpecs().filter((spec) => spec.spreadZones && spec.zone === null);
		if (spreadSpecs.length === 0) return null;
		for (const lostZone of new Set(machines.map((machine) => machine.zone))) {
			const remaining = machines.filter((machine) => machine.zone !== lostZone);
			const capacity = new SimulatedCapacity(freeOrPreemptibleResources);
			for (const spec of spreadSpecs) {
				const replicasByZone: Record<string, number> = {};
				const unplaced = capacity.placeTasks(spec, spec.taskCount, remaining, replicasByZone);
				// The lost zone counts as full, so that no machine is requested there.
				if (unplaced > 0)
					return {
						spec,
						replicaCount: unplaced,
						replicasByZone: { ...replicasByZone, [lostZone]: spec.taskCount },
					};
			}
		}
		return null;
	}

	/**
	 * Returns the specs of the service jobs expected next: those submitted within the last minute and, if any job
	 * is live, an assumed one for each class with a fast start that has had neither an older service job nor an
	 * array job.
	 */
	private expectedSpecs(): JobSpec[] {
		const wallClockMs = this.clock.date().getTime();
		const specs: JobSpec[] = [];
		/** Classes with a service job older than a minute: those show what to expect, so nothing is assumed. */
		const classesWithOlderJobs = new Set<string>();
		for (const { isService, spec, acceptedAt } of this.clusterState.jobs.values()) {
			if (!isService) this.arrayClasses.add(spec.jobClass);
			else if (wallClockMs - acceptedAt <= recentJobWindowMs) specs.push(spec);
			else classesWithOlderJobs.add(spec.jobClass);
		}
		if (this.clusterState.jobs.size === 0) return specs;
		for (const jobClass of classesWithFastStart(this.objectives, this.clusterState.machineTypes.values()))
			if (!classesWithOlderJobs.has(jobClass) && !this.arrayClasses.has(jobClass))
				specs.push(assumedServiceSpec(jobClass, this.clusterState.schedulableCpus));
		return specs;
	}

	private requestMachines(
		{ spec, replicaCount, replicasByZone }: ReplicaShortage,
		snapshot: FleetSnapshot,
	): boolean {
		const fullZones = new Set(
			Object.keys(replicasByZone).filter((zone) => zoneTaskHeadroom(spec, replicasByZone, zone) < 1),
		);
		// More replicas usually follow, so a larger machine may cost less per replica.
		let expectedCpus = replicaCount * spec.cpus;
		for (const expected of this.expectedSpecs()) expectedCpus += expected.taskCount * expected.cpus;
		const need: ScaleOutNeed = {
			spec,
			remainingWork: 0,
			replicas: { replicaCount, expectedCpus, fullZones },
		};
		return this.scaleOut.request(need, snapshot) === "requested";
	}

	/**
	 * True if a machine with replicas may drain: at most a quarter of its cores are in use, and its replicas fit
	 * on other running machines now.
	 */
	canRelocateReplicas(machine: Machine, machines: Machine[]): boolean {
		if (machine.capacity.usedCpus > machine.type.cpus / 4) return false;
		const targets = machines.filter((m) => m !== machine && m.agent.running && !m.health.onProbation);
		const capacity = new SimulatedCapacity(freeResources);
		for (const attempt of machine.attempts.values()) {
			if (!attempt.job.isService) continue;
			const replicasByZone = tasksByZoneExcluding(attempt.job, [attempt]);
			if (capacity.placeTasks(attempt.job.spec, 1, targets, replicasByZone) > 0) return false;
		}
		return true;
	}
}

function shortageOf(
	{ spec }: Job,
	replicaCount: number,
	snapshot: FleetSnapshot,
	capacity: SimulatedCapacity,
	replicasByZone: Record<string, number>,
): ReplicaShortage | null {
	const unplaced = capacity.placeTasks(spec, replicaCount, snapshot.machines, replicasByZone);
	return unplaced > 0 ? { spec, replicaCount: unplaced, replicasByZone } : null;
}
