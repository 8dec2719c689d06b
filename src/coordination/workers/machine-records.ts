/** Records in the store of the machines that may run tasks, for the next leader. */

import type { Machine } from "../../bookkeeping/machine.js";
import type { Versioned } from "../../bookkeeping/versioned.js";
import type { MachineId } from "../../protocol/model/identifiers.js";
import type { StoredChunk } from "../../protocol/records/chunk.js";
import { keys } from "../../protocol/records/keys.js";
import { encodeMachineRecord, type StoredMachineRecord } from "../../protocol/records/machine-record.js";
import { ChunkedRecords, type ChunkedRecordsEnvironment } from "../replication/chunked-records.js";
import type { ClusterState } from "../state/cluster-state.js";

/** Least time between writes. */
const writeEveryMs = 150;
/** How long the record of a machine that is gone may stay. */
const removeWithinMs = 3000;

/**
 * Owns the records of machines of one term. A machine's record is durable before the first task starts there, so
 * that a later leader knows of every machine that may run tasks.
 */
export class MachineRecords {
	private readonly records: ChunkedRecords<StoredMachineRecord>;

	constructor(
		private readonly clusterState: ClusterState,
		environment: ChunkedRecordsEnvironment,
	) {
		this.records = new ChunkedRecords({
			...environment,
			prefix: keys.machines,
			onConfirmed: (entries) => this.confirmed(entries.keys()),
			pace: { priority: "normal", minIntervalMs: writeEveryMs, cleanupIntervalMs: removeWithinMs },
		});
	}

	/** Takes over what the store held when the term began. */
	load(chunks: Iterable<[string, Versioned<StoredChunk<StoredMachineRecord>>]>): void {
		this.records.load(chunks);
	}

	/** Writes a record of the machine unless there is one. The machine counts as recorded once it is confirmed. */
	record(machine: Machine): void {
		if (this.records.has(machine.id)) return;
		const { agent, type, zone, spot } = machine;
		const { endpoint, agentEpoch } = agent;
		const record = { endpoint, machineType: type.name, zone, spot, agentEpoch };
		this.records.set(machine.id, encodeMachineRecord(record));
		this.records.flush();
	}

	/** The machine is gone. A record left behind would only make a later leader wait for it. */
	delete(machine: Machine): void {
		this.records.delete(machine.id);
	}

	/** Called often, with authority. */
	flush(): void {
		this.records.flush();
	}

	private confirmed(ids: Iterable<MachineId>): void {
		for (const id of ids) this.clusterState.machines.get(id)?.lifecycle.markRecorded();
		this.clusterState.requestPlacement();
	}
}
