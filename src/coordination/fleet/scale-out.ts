import { Machine } from "../../bookkeeping/machine.js";
import { tasksHeld } from "../../bookkeeping/machine-fit.js";
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
const dearFrom = 2;
/** A request without a definite response is repeated for this long. */
const rentalTriesMs = 60_000;
const retryMs = 500;
/** The cloud's limit. */
const mostPerCall = 50;

/** A need of machines for replicas, which is independent of the load. */
export interface ReplicaNeed {
	/** Replicas that fit on no machine. */
	replicaCount: number;
	/** Cores of these replicas and of those expected next. */
	expectedCpus: number;
	/** Zones in which the job's zone constraints allow no more replicas. */
	fullZones: ReadonlySet<string>;
}

/** A need of machines. */
export interface ScaleOutNeed {
	/** The job of which the machines must be able to hold a task. */
	spec: JobSpec;
	/** The remaining work for which the load is to be brought down to the high threshold; 0: one machine, at once. */
	remainingWork: number;
	replicas?: ReplicaNeed;
}

/**
 * The result of a scale-out request: it was sent; it is not to be sent now; or no offer can meet the need, so that
 * another need may be tried.
 */
export type ScaleOutOutcome = "asked" | "not now" | "nothing to be had";

interface Rental {
	request: ScaleOutRequest;
	type: MachineType;
	firstSentAt: number;
}

export interface ScaleOutHooks {
	post(command: () => void): void;
	active(): boolean;
	/** More machines are needed than the request created: the next round should not wait for the counters. */
	onUnfilled(): void;
	isDeleted(machine: string): boolean;
	isZoneIsolated(zone: string): boolean;
}

/** Chooses machines to create and requests them from the cloud, one request at a time. */
export class ScaleOut {
	private readonly refusedUntil = new Map<string, number>();
	private rental: Rental | null = null;
	/** Number of successive requests for which only expensive offers were available. */
	private patience = 0;
	private requestNumber = 0;

	constructor(
		private readonly clusterState: ClusterState,
		private readonly cloud: CloudProvider,
		private readonly time: Clock,
		private readonly climb: OperatorSettings["climb"],
		/** The prefix of all request names; never used by another term or process. */
		private readonly requestPrefix: string,
		private readonly hooks: ScaleOutHooks,
		private readonly log: Log,
	) {}

	/** True if a request is pending. */
	get requestPending(): boolean {
		return this.rental !== null;
	}

	/** Called when the load is no longer high: the wait for an expensive offer starts anew. */
	onLoadNormal(): void {
		this.patience = 0;
	}

	/** Makes the offer available again after a refusal: one of its machines was deleted, so there may be capacity. */
	clearRefusal(offer: Pick<MachineOffer, "type" | "zone" | "spot">): void {
		this.refusedUntil.delete(offerKey(offer));
	}

	request(need: ScaleOutNeed, look: FleetSnapshot): ScaleOutOutcome {
		if (this.rental) return "not now";
		const machines = look.machines.length;
		const most = this.climb.most_machines;
		if (most > 0 && machines >= most) return "not now";
		const usable = usableCpus(this.clusterState);
		const byLoad = machines > 0 && need.remainingWork > 0;
		if (byLoad && look.cpus >= usable) return "not now";
		const wanted = need.replicas?.expectedCpus ?? Math.max(usable - look.cpus, need.spec.cpus);
		const offers = rankOffers(
			offersFor(need.spec, [...this.clusterState.machineTypes.values()]),
			need.spec,
			wanted,
		);
		const offer = offers.find((o) => this.isOpen(o, need, look.now));
		if (!offer) return "nothing to be had";
		if (this.tooDear(offer, offers[0] as MachineOffer, byLoad)) return "not now";
		let count = this.countOf(need, offer, look, usable);
		if (most > 0) count = Math.min(count, most - machines);
		this.send(offer, Math.max(1, Math.min(mostPerCall, count)), look.now);
		return "asked";
	}

	/** True if the offer may be requested: its zone may be used, and it was not refused recently. */
	private isOpen(offer: MachineOffer, need: ScaleOutNeed, now: number): boolean {
		if (this.hooks.isZoneIsolated(offer.zone) || need.replicas?.fullZones.has(offer.zone)) return false;
		return (this.refusedUntil.get(offerKey(offer)) ?? 0) <= now;
	}

	/** True if the offer is not to be requested yet: the more expensive it is, the longer the load must stay high. */
	private tooDear(offer: MachineOffer, cheapest: MachineOffer, byLoad: boolean): boolean {
		const dearness = pricePerCpu(offer) / pricePerCpu(cheapest);
		this.patience += 1;
		if (byLoad && dearness > dearFrom && this.patience <= 2 * dearness * this.climb.up_past) return true;
		this.patience = 0;
		return false;
	}

	/** Returns how many machines of the offer the need takes. */
	private countOf(
		{ spec, remainingWork: work, replicas }: ScaleOutNeed,
		{ type }: MachineOffer,
		look: FleetSnapshot,
		usable: number,
	) {
		if (replicas) {
			const here = spec.spreadZones
				? Math.min(replicas.replicaCount, Math.ceil(spec.taskCount / 2))
				: replicas.replicaCount;
			return Math.ceil(here / tasksHeld(spec, type));
		}
		const highPerCpu = this.climb.high * look.meanRemainingS;
		const count = machinesToAdd(work, look.machines.length, look.cpus, type.cpus, highPerCpu, mostPerCall);
		// Cores beyond the teams' limits would be idle.
		return Math.min(count, Math.ceil(Math.max(0, usable - look.cpus) / type.cpus));
	}

	private send({ type, zone, spot }: MachineOffer, count: number, now: number): void {
		this.requestNumber += 1;
		const name = `${this.requestPrefix}-${this.requestNumber}`;
		this.rental = { request: { name, machineType: type.name, zone, spot, count }, type, firstSentAt: now };
		this.call(this.rental);
	}

	private call(rental: Rental): void {
		this.cloud.createMachines(rental.request).then(
			(ids) => this.hooks.post(() => this.rented(rental, ids)),
			(error) => this.hooks.post(() => this.failed(rental, error)),
		);
	}

	private rented(rental: Rental, ids: string[]): void {
		const { request } = rental;
		const now = this.time.now();
		this.rental = null;
		for (const id of ids) this.expect(id, rental, now);
		if (ids.length > 0) this.log.info({ ...request, got: ids.length }, "scale-out complete");
		else this.log.debug({ ...request }, "scale-out refused: no capacity");
		if (ids.length < request.count) this.refuse(rental, now);
		// Machines that this offer could not provide are requested from the next one, and those beyond the cloud's limit
		// per call in another call, without waiting for the counters.
		if (ids.length < request.count || request.count === mostPerCall) this.hooks.onUnfilled();
	}

	private failed(rental: Rental, error: unknown): void {
		const now = this.time.now();
		const rejected = error instanceof CallError && error.outcome === "rejected";
		if (rejected || now - rental.firstSentAt > rentalTriesMs) {
			this.rental = null;
			this.refuse(rental, now);
			this.log.info({ ...rental.request, err: String(error) }, "scale-out abandoned");
			return;
		}
		// The request may have been executed: repeating it under the same name yields the same machines.
		this.time.after(retryMs, () =>
			this.hooks.post(() => {
				if (this.rental === rental && this.hooks.active()) this.call(rental);
				else this.rental = null;
			}),
		);
	}

	private refuse({ type, request: { zone, spot } }: Rental, now: number): void {
		this.refusedUntil.set(offerKey({ type, zone, spot }), now + this.climb.refusal_s * 1000);
	}

	private expect(id: string, { type, request: { zone, spot } }: Rental, now: number): void {
		if (this.clusterState.machines.has(id) || this.hooks.isDeleted(id)) return;
		const machine = new Machine({ id, type, zone, spot, origin: "created" }, now);
		this.clusterState.addMachine(machine);
	}
}

function pricePerCpu(offer: MachineOffer): number {
	return offer.hourlyPrice / offer.type.cpus;
}
