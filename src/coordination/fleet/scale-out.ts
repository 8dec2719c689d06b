/** Requests for new machines: the choice of an offer and its repetition until the cloud responds. */

import { Machine } from "../../bookkeeping/machine.js";
import { maxTasksPerMachine } from "../../bookkeeping/machine-fit.js";
import type { ScaleOutRequest } from "../../protocol/http/cloud-api.js";
import type { JobSpec } from "../../protocol/model/job.js";
import type { MachineType } from "../../protocol/model/machine.js";
import type { OperatorSettings } from "../../protocol/settings/operator.js";
import { CallError } from "../ports/call-error.js";
import type { Clock } from "../ports/clock.js";
import type { CloudProvider } from "../ports/cloud.js";
import type { Log } from "../ports/log.js";
import type { ClusterState } from "../state/cluster-state.js";
import { type FleetSnapshot, usableCpus } from "./fleet-load.js";
import { type MachineOffer, machinesToAdd, offerKey, offersFor, rankOffers } from "./hill-climb.js";

/** An offer whose cores cost more than this multiple of the best offer's is not requested at once. */
const expensiveFactor = 2;
/** A request without a definite response is repeated for this long. */
const requestTimeoutMs = 60_000;
const retryMs = 500;
/** The cloud's limit on the machines of one call. */
const maxMachinesPerCall = 50;

/** A need for machines to run replicas, which is independent of the load. */
export interface ReplicaNeed {
	/** Replicas that fit on no machine. */
	replicaCount: number;
	/** Cores of these replicas and of those expected next. */
	expectedCpus: number;
	/** Zones in which the job's zone constraints allow no more replicas. */
	fullZones: ReadonlySet<string>;
}

/** A need for machines. */
export interface ScaleOutNeed {
	/** The job of which the machines must be able to hold a task. */
	spec: JobSpec;
	/** The remaining work for which the load is to be brought down to the high threshold; 0: one machine, at once. */
	remainingWork: number;
	replicas?: ReplicaNeed;
}

/**
 * The result of a scale-out request: it was sent; it is not to be sent now; or no offer can meet the need, so
 * that another need may be tried.
 */
export type ScaleOutOutcome = "requested" | "deferred" | "no offer";

interface PendingRequest {
	request: ScaleOutRequest;
	type: MachineType;
	firstSentAt: number;
}

/** Actions of the fleet that scale-out calls. */
export interface ScaleOutHooks {
	/** Runs the action in the process's serial executor. */
	post(action: () => void): void;
	/** True while this process may act as the leader. */
	active(): boolean;
	/** Called when more machines are needed than a request created: the next round should not wait for the counters. */
	onUnfilled(): void;
	isDeleted(machine: string): boolean;
	isZoneIsolated(zone: string): boolean;
}

/** Chooses machines to create and requests them from the cloud, one request at a time. */
export class ScaleOut {
	private readonly refusedUntil = new Map<string, number>();
	private pendingRequest: PendingRequest | null = null;
	/** Number of successive requests for which only expensive offers were available. */
	private deferredRequests = 0;
	private requestNumber = 0;

	constructor(
		private readonly clusterState: ClusterState,
		private readonly cloud: CloudProvider,
		private readonly clock: Clock,
		private readonly climb: OperatorSettings["climb"],
		/** The prefix of all request names; never used by another term or process. */
		private readonly requestPrefix: string,
		private readonly hooks: ScaleOutHooks,
		private readonly log: Log,
	) {}

	/** True if a request is pending. */
	get requestPending(): boolean {
		return this.pendingRequest !== null;
	}

	/** Called when the load is no longer high: the wait for an expensive offer starts anew. */
	onLoadNormal(): void {
		this.deferredRequests = 0;
	}

	/** Makes the offer available again after a refusal: one of its machines was deleted, so there may be capacity. */
	clearRefusal(offer: Pick<MachineOffer, "type" | "zone" | "spot">): void {
		this.refusedUntil.delete(offerKey(offer));
	}

	/** Requests machines for the need, if it can be met now. */
	request(need: ScaleOutNeed, snapshot: FleetSnapshot): ScaleOutOutcome {
		if (this.pendingRequest) return "deferred";
		const machineCount = snapshot.machines.length;
		const maxMachines = this.climb.most_machines;
		if (maxMachines > 0 && machineCount >= maxMachines) return "deferred";
		const cpusWithinLimits = usableCpus(this.clusterState);
		const loadDriven = machineCount > 0 && need.remainingWork > 0;
		if (loadDriven && snapshot.cpus >= cpusWithinLimits) return "deferred";
		const neededCpus =
			need.replicas?.expectedCpus ?? Math.max(cpusWithinLimits - snapshot.cpus, need.spec.cpus);
		const offers = rankOffers(
			offersFor(need.spec, [...this.clusterState.machineTypes.values()]),
			need.spec,
			neededCpus,
		);
		const offer = offers.find((o) => this.isAvailable(o, need, snapshot.now));
		if (!offer) return "no offer";
		if (this.isTooExpensive(offer, offers[0] as MachineOffer, loadDriven)) return "deferred";
		let count = this.machinesToRequest(need, offer, snapshot, cpusWithinLimits);
		if (maxMachines > 0) count = Math.min(count, maxMachines - machineCount);
		this.send(offer, Math.max(1, Math.min(maxMachinesPerCall, count)), snapshot.now);
		return "requested";
	}

	/** True if the offer may be requested: its zone may be used, and it was not refused recently. */
	private isAvailable(offer: MachineOffer, need: ScaleOutNeed, now: number): boolean {
		if (this.hooks.isZoneIsolated(offer.zone) || need.replicas?.fullZones.has(offer.zone)) return false;
		return (this.refusedUntil.get(offerKey(offer)) ?? 0) <= now;
	}

	/** True if the offer is not to be requested yet: the more expensive it is, the longer the load must stay high. */
	private isTooExpensive(offer: MachineOffer, cheapest: MachineOffer, loadDriven: boolean): boolean {
		const priceRatio = hourlyPricePerCpu(offer) / hourlyPricePerCpu(cheapest);
		this.deferredRequests += 1;
		if (
			loadDriven &&
			priceRatio > expensiveFactor &&
			this.deferredRequests <= 2 * priceRatio * this.climb.up_past
		)
			return true;
		this.deferredRequests = 0;
		return false;
	}

	/** Returns how many machines of the offer to request for the need. */
	private machinesToRequest(
		{ spec, remainingWork, replicas }: ScaleOutNeed,
		{ type }: MachineOffer,
		snapshot: FleetSnapshot,
		cpusWithinLimits: number,
	) {
		if (replicas) {
			const replicasInZone = spec.spreadZones
				? Math.min(replicas.replicaCount, Math.ceil(spec.taskCount / 2))
				: replicas.replicaCount;
			return Math.ceil(replicasInZone / maxTasksPerMachine(spec, type));
		}
		const highThresholdPerCpu = this.climb.high * snapshot.meanRemainingS;
		const count = machinesToAdd(
			remainingWork,
			snapshot.machines.length,
			snapshot.cpus,
			type.cpus,
			highThresholdPerCpu,
			maxMachinesPerCall,
		);
		// Cores beyond the teams' limits would be idle.
		return Math.min(count, Math.ceil(Math.max(0, cpusWithinLimits - snapshot.cpus) / type.cpus));
	}

	private send({ type, zone, spot }: MachineOffer, count: number, now: number): void {
		this.requestNumber += 1;
		const name = `${this.requestPrefix}-${this.requestNumber}`;
		this.pendingRequest = {
			request: { name, machineType: type.name, zone, spot, count },
			type,
			firstSentAt: now,
		};
		this.callCloud(this.pendingRequest);
	}

	private callCloud(pending: PendingRequest): void {
		this.cloud.createMachines(pending.request).then(
			(ids) => this.hooks.post(() => this.onCreated(pending, ids)),
			(error) => this.hooks.post(() => this.onRequestFailed(pending, error)),
		);
	}

	private onCreated(pending: PendingRequest, ids: string[]): void {
		const { request } = pending;
		const now = this.clock.now();
		this.pendingRequest = null;
		for (const id of ids) this.addMachine(id, pending, now);
		if (ids.length > 0) this.log.info({ ...request, created: ids.length }, "scale-out complete");
		else this.log.debug({ ...request }, "scale-out refused: no capacity");
		if (ids.length < request.count) this.recordRefusal(pending, now);
		// Machines that this offer could not provide are requested from the next one, and those beyond the cloud's
		// limit per call in another call, without waiting for the counters.
		if (ids.length < request.count || request.count === maxMachinesPerCall) this.hooks.onUnfilled();
	}

	private onRequestFailed(pending: PendingRequest, error: unknown): void {
		const now = this.clock.now();
		const rejected = error instanceof CallError && error.outcome === "rejected";
		if (rejected || now - pending.firstSentAt > requestTimeoutMs) {
			this.pendingRequest = null;
			this.recordRefusal(pending, now);
			this.log.info({ ...pending.request, err: String(error) }, "scale-out abandoned");
			return;
		}
		// The request may have been executed: repeating it under the same name yields the same machines.
		this.clock.after(retryMs, () =>
			this.hooks.post(() => {
				if (this.pendingRequest === pending && this.hooks.active()) this.callCloud(pending);
				else this.pendingRequest = null;
			}),
		);
	}

	private recordRefusal({ type, request: { zone, spot } }: PendingRequest, now: number): void {
		this.refusedUntil.set(offerKey({ type, zone, spot }), now + this.climb.refusal_s * 1000);
	}

	private addMachine(id: string, { type, request: { zone, spot } }: PendingRequest, now: number): void {
		if (this.clusterState.machines.has(id) || this.hooks.isDeleted(id)) return;
		const machine = new Machine({ id, type, zone, spot, origin: "created" }, now);
		this.clusterState.addMachine(machine);
	}
}

function hourlyPricePerCpu(offer: MachineOffer): number {
	return offer.hourlyPrice / offer.type.cpus;
}
