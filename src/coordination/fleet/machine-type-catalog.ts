/** The machine types that the cloud offers, as the leader reads and stores them. */

import { revisionOf, type Term } from "../../protocol/model/identifiers.js";
import type { MachineType } from "../../protocol/model/machine.js";
import { keys } from "../../protocol/records/keys.js";
import { encodeMachineTypes } from "../../protocol/records/singleton-records.js";
import { CallError } from "../ports/call-error.js";
import type { Clock } from "../ports/clock.js";
import type { CloudProvider } from "../ports/cloud.js";
import type { Log } from "../ports/log.js";
import type { KeyValueStore } from "../ports/store.js";

const refreshIntervalMs = 60_000;
const retryMs = 700;

/** Dependencies of the catalog. */
export interface MachineTypeCatalogOptions {
	cloud: CloudProvider;
	store: KeyValueStore;
	clock: Clock;
	log: Log;
	/** Runs the action in the process's serial executor. */
	post(action: () => void): void;
	/** Returns the term in which this process may act as the leader; null: it may not act. */
	authorizedTerm(): Term | null;
	/** Returns the machine types in the store; null: there are none. */
	storedTypes(): MachineType[] | null;
	/** Called with the machine types that were read from the cloud. */
	onRefreshed(types: MachineType[]): void;
}

/**
 * The machine types that the cloud offers. The leader reads them periodically, since their prices change, and
 * writes them to the store, so that a starting node can check submissions without the cloud.
 */
export class MachineTypeCatalog {
	private latestTypes: MachineType[] | null = null;
	private reading = false;
	private nextReadAt = 0;

	constructor(private readonly options: MachineTypeCatalogOptions) {}

	/** The machine types; null: they have been read neither from the cloud nor from the store. */
	get types(): MachineType[] | null {
		return this.latestTypes ?? this.options.storedTypes();
	}

	/** Starts to read the types if a read is due. Called in each tick of a leader that may act. */
	tick(): void {
		const { clock, cloud, post } = this.options;
		if (this.reading || clock.now() < this.nextReadAt) return;
		this.reading = true;
		cloud.machineTypes().then(
			(types) => post(() => this.onTypesRead(types)),
			(error) => post(() => this.onReadFailed(error)),
		);
	}

	private onTypesRead(types: MachineType[]): void {
		this.reading = false;
		if (types.length === 0) return;
		this.nextReadAt = this.options.clock.now() + refreshIntervalMs;
		this.latestTypes = types;
		this.options.onRefreshed(types);
		this.writeToStore(types);
	}

	private onReadFailed(error: unknown): void {
		this.reading = false;
		this.nextReadAt = this.options.clock.now() + retryMs;
		this.options.log.debug({ err: String(error) }, "reading the machine types failed");
	}

	private writeToStore(types: MachineType[]): void {
		const { store, log, post, authorizedTerm, storedTypes } = this.options;
		const term = authorizedTerm();
		if (term === null || sameTypes(storedTypes() ?? [], types)) return;
		const value = encodeMachineTypes(types);
		store
			.compareAndSwap(
				[{ key: keys.leader, revision: revisionOf(term) }],
				[{ put: keys.machineTypes, value }],
				"user",
			)
			.catch((error) =>
				post(() => {
					// The types are too many for one value. Each leader then reads them from the cloud.
					if (error instanceof CallError && error.outcome === "rejected")
						log.error({ key: keys.machineTypes, err: error.message }, "record rejected by the store");
					else this.nextReadAt = 0;
				}),
			);
	}
}

/** Compares only what submissions depend on: the prices of spot machines change constantly. */
function sameTypes(a: MachineType[], b: MachineType[]): boolean {
	const summary = (types: MachineType[]) =>
		JSON.stringify(types.map((t) => [t.name, t.cpus, t.gpus, t.memoryGb, t.bootS, t.zones]));
	return summary(a) === summary(b);
}
