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
import { type MachineOffer, machinesToCut, offerKey, offersFor, rankOffers } from "./hill-climb.js";

/** An offer this many times as dear as the cheapest of its kind is not taken at once. */
const dearFrom = 2;
const rentalTriesMs = 60_000;
const retryMs = 500;
/** The cloud's own bound. */
const mostPerCall = 50;

/** Machines wanted for replicas, by themselves and whatever the load is. */
export interface ReplicaNeed {
	/** Replicas that have no room. */
	count: number;
	/** Cores that replicas will want before long. */
	comingCpus: number;
	/** Zones in which no more of them may be. */
	fullZones: ReadonlySet<string>;
}

/** What machines are wanted for. */
export interface ScaleOutNeed {
	/** The work that they must be able to hold. */
	spec: JobSpec;
	/** Remaining work that is to be brought down to the high mark; 0: one machine, at once. */
	work: number;
	replicas?: ReplicaNeed;
}

export type ScaleOutOutcome = "asked" | "not now" | "nothing to be had";

interface Rental {
	request: ScaleOutRequest;
	type: MachineType;
	firstSentAt: number;
}

export interface ScaleOutHooks {
	post(command: () => void): void;
	authority(): boolean;
	/** More is wanted than this call gave: the next round need not wait for the counters. */
	unfilled(): void;
	isDeleted(machine: string): boolean;
	isCutOff(zone: string): boolean;
}

/** Chooses what to rent and asks the cloud for it, one request at a time. */
export class ScaleOut {
	private readonly refusedUntil = new Map<string, number>();
	private rental: Rental | null = null;
	/** Times in a row that the up counter acted with nothing but dear offers left. */
	private patience = 0;
	private requestNumber = 0;

	constructor(
		private readonly clusterState: ClusterState,
		private readonly cloud: CloudProvider,
		private readonly time: Clock,
		private readonly climb: OperatorSettings["climb"],
		/** Begins the names of all requests; never used by another term or process. */
		private readonly requestPrefix: string,
		private readonly hooks: ScaleOutHooks,
		private readonly log: Log,
	) {}

	/** A request is on its way. */
	get pending(): boolean {
		return this.rental !== null;
	}

	/** The load is no longer high. */
	loadIsDown(): void {
		this.patience = 0;
	}

	/** A machine of it is gone, so there may be another, whatever was refused before. */
	allowAgain(offer: Pick<MachineOffer, "type" | "zone" | "spot">): void {
		this.refusedUntil.delete(offerKey(offer));
	}

	request(need: ScaleOutNeed, look: FleetSnapshot): ScaleOutOutcome {
		if (this.rental) return "not now";
		const machines = look.machines.length;
		const most = this.climb.most_machines;
		if (most > 0 && machines >= most) return "not now";
		const usable = usableCpus(this.clusterState);
		const byLoad = machines > 0 && need.work > 0;
		if (byLoad && look.cpus >= usable) return "not now";
		const wanted = need.replicas?.comingCpus ?? Math.max(usable - look.cpus, need.spec.cpus);
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

	private isOpen(offer: MachineOffer, need: ScaleOutNeed, now: number): boolean {
		if (this.hooks.isCutOff(offer.zone) || need.replicas?.fullZones.has(offer.zone)) return false;
		return (this.refusedUntil.get(offerKey(offer)) ?? 0) <= now;
	}

	/** Dear machines are rented only when the load stays high for longer, by as much as they cost more. */
	private tooDear(offer: MachineOffer, cheapest: MachineOffer, byLoad: boolean): boolean {
		const dearness = pricePerCpu(offer) / pricePerCpu(cheapest);
		this.patience += 1;
		if (byLoad && dearness > dearFrom && this.patience <= 2 * dearness * this.climb.up_past) return true;
		this.patience = 0;
		return false;
	}

	private countOf(
		{ spec, work, replicas }: ScaleOutNeed,
		{ type }: MachineOffer,
		look: FleetSnapshot,
		usable: number,
	) {
		if (replicas) {
			const here = spec.spreadZones
				? Math.min(replicas.count, Math.ceil(spec.taskCount / 2))
				: replicas.count;
			return Math.ceil(here / maxTasksPerMachine(spec, type));
		}
		const highPerCpu = this.climb.high * look.secondsLeft;
		const count = machinesToCut(work, look.machines.length, look.cpus, type.cpus, highPerCpu, mostPerCall);
		// Cores beyond what the teams' limits allow would stand idle.
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
		// What one offer could not give is asked of the next, and what one call could not
		// ask for of another, without waiting for more rounds.
		if (ids.length < request.count || request.count === mostPerCall) this.hooks.unfilled();
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
		// Perhaps it was carried out: the same name gets the same machines.
		this.time.after(retryMs, () =>
			this.hooks.post(() => {
				if (this.rental === rental && this.hooks.authority()) this.call(rental);
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
	return offer.price / offer.type.cpus;
}
