/** Stores records of the machines that may run tasks, for the next leader. */

import type { Machine } from "../../bookkeeping/machine.js";
import type { Versioned } from "../../bookkeeping/versioned.js";
import type { MachineId } from "../../protocol/model/identifiers.js";
import type { StoredChunk } from "../../protocol/records/chunk.js";
import { keys } from "../../protocol/records/keys.js";
import { encodeMachineRecord, type StoredMachineRecord } from "../../protocol/records/machine-record.js";
import { ChunkedRecords, type ChunkedRecordsEnvironment } from "../replication/chunked-records.js";
import type { ClusterState } from "../state/cluster-state.js";

/** Minimum interval between writes. */
const minWriteIntervalMs = 150;
/** Maximum time until the record of a deleted machine is removed from the store. */
const maxRemovalDelayMs = 3000;

/**
 * Owns the machine records of one term. A machine's record is durable before the first task starts there, so that a
 * later leader finds every machine that may run tasks.
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
			onConfirmed: (entries) => this.onConfirmed(entries.keys()),
			pace: { priority: "normal", minIntervalMs: minWriteIntervalMs, cleanupIntervalMs: maxRemovalDelayMs },
		});
	}

	/** Loads the records that were in the store when the term began. */
	load(chunks: Iterable<[string, Versioned<StoredChunk<StoredMachineRecord>>]>): void {
		this.records.load(chunks);
	}

	/**
	 * Writes a record of the machine unless there is one. The machine counts as recorded once the write is confirmed.
	 */
	record(machine: Machine): void {
		if (this.records.has(machine.id)) return;
		const { agent, type, zone, spot } = machine;
		const { endpoint, agentEpoch } = agent;
		const record = { endpoint, machineType: type.name, zone, spot, agentEpoch };
		this.records.set(machine.id, encodeMachineRecord(record));
		this.records.flush();
	}

	/** Removes the record of a deleted machine; a later leader would needlessly wait for a machine with a record. */
	delete(machine: Machine): void {
		this.records.delete(machine.id);
	}

	/** Writes pending changes, subject to the write intervals. Called while the leader is authorized to act. */
	flush(): void {
		this.records.flush();
	}

	private onConfirmed(ids: Iterable<MachineId>): void {
		for (const id of ids) this.clusterState.machines.get(id)?.lifecycle.markRecorded();
		this.clusterState.requestPlacement();
	}
}
