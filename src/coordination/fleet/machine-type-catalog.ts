import type { MachineType } from "../../protocol/model/machine.js";
import { keys } from "../../protocol/records/keys.js";
import { encodeMachineTypes } from "../../protocol/records/singleton-records.js";
import { CallError } from "../ports/call-error.js";
import type { Clock } from "../ports/clock.js";
import type { CloudProvider } from "../ports/cloud.js";
import type { Log } from "../ports/log.js";
import type { KeyValueStore } from "../ports/store.js";

const refreshEveryMs = 60_000;
const retryMs = 700;

export interface MachineTypeCatalogOptions {
	cloud: CloudProvider;
	store: KeyValueStore;
	time: Clock;
	log: Log;
	post(command: () => void): void;
	/** The term while this process may act for the controllers, else null. */
	authority(): number | null;
	/** What the state service has. */
	stored(): MachineType[] | null;
	/** The cloud has answered. */
	refreshed(types: MachineType[]): void;
}

/**
 * The machine types that the cloud offers. The leader reads them now and then, for their prices, and
 * keeps them in the store, so that a starting node can check submissions without the cloud.
 */
export class MachineTypeCatalog {
	private latest: MachineType[] | null = null;
	private reading = false;
	private nextReadAt = 0;

	constructor(private readonly options: MachineTypeCatalogOptions) {}

	/** null: neither the cloud nor the state service has told any. */
	get types(): MachineType[] | null {
		return this.latest ?? this.options.stored();
	}

	/** Called often, with authority. */
	tick(): void {
		const { time, cloud, post } = this.options;
		if (this.reading || time.now() < this.nextReadAt) return;
		this.reading = true;
		cloud.machineTypes().then(
			(types) => post(() => this.received(types)),
			(error) => post(() => this.failed(error)),
		);
	}

	private received(types: MachineType[]): void {
		this.reading = false;
		if (types.length === 0) return;
		this.nextReadAt = this.options.time.now() + refreshEveryMs;
		this.latest = types;
		this.options.refreshed(types);
		this.store(types);
	}

	private failed(error: unknown): void {
		this.reading = false;
		this.nextReadAt = this.options.time.now() + retryMs;
		this.options.log.debug({ err: String(error) }, "machine types not read");
	}

	private store(types: MachineType[]): void {
		const { store, log, post, authority, stored } = this.options;
		const term = authority();
		if (term === null || sameTypes(stored() ?? [], types)) return;
		const value = encodeMachineTypes(types);
		store
			.compareAndSwap([{ key: keys.leader, revision: term }], [{ put: keys.machineTypes, value }], "user")
			.catch((error) =>
				post(() => {
					// Too many types for one value: they are read from the cloud then, by each leader.
					if (error instanceof CallError && error.outcome === "rejected")
						log.error({ key: keys.machineTypes, err: error.message }, "record rejected by the store");
					else this.nextReadAt = 0;
				}),
			);
	}
}

/** Prices of spot machines move all the time; only what submissions depend on is compared. */
function sameTypes(a: MachineType[], b: MachineType[]): boolean {
	const summary = (types: MachineType[]) =>
		JSON.stringify(types.map((t) => [t.name, t.cpus, t.gpus, t.memoryGb, t.bootS, t.zones]));
	return summary(a) === summary(b);
}
