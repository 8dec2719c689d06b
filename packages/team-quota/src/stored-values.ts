/** A process's copy of the stored quota values. */

import { maxRecordBytes, type PackedQuotaValue, packValue, unpackValue } from "./packed-record.js";
import type { QuotaRecord } from "./record.js";
import type { Uint64 } from "./uint64.js";

/** A value to write. */
export interface StoredChange {
	key: string;
	value: PackedQuotaValue;
}

/** Requires a key to have this revision when values are written. */
export interface StoredCondition {
	key: string;
	/** 0 requires that the key does not exist. */
	revision: Uint64;
}

/** The result of a write that the state service answered. */
export type QuotaWriteResult =
	| { kind: "written"; revision: Uint64 }
	/** The keys whose revisions differ from the conditions. */
	| { kind: "conflict"; keys: string[] };

/** A key of the state service with its value. */
export interface QuotaRow {
	key: string;
	value: unknown;
	revision: Uint64;
}

/** The operations of the state service that the package uses. A call that fails may or may not be executed. */
export interface QuotaStore {
	transact(conditions: StoredCondition[], changes: StoredChange[]): Promise<QuotaWriteResult>;
	/** Returns null if the key does not exist. */
	read(key: string): Promise<QuotaRow | null>;
	readPrefix(prefix: string): Promise<QuotaRow[]>;
}

interface StoredValue {
	revision: Uint64;
	records: Map<string, QuotaRecord>;
	/** Teams whose records in this value cannot be read. */
	unreadableTeams: string[];
}

/** Settings of the stored values. */
export interface StoredValuesOptions {
	/** Prefix of the keys of stored quota values. */
	keyPrefix: string;
	nodes: readonly string[];
	incarnationLength: number;
	/** Maximum size of a written value. */
	maxValueBytes: number;
	onFault(key: string, team: string, fault: string): void;
}

/** The process's in-memory copy of the stored records, with the key of the value that contains each. */
export class StoredValues {
	private readonly values = new Map<string, StoredValue>();
	private readonly keyByTeam = new Map<string, string>();
	/** Faults of unreadable records that have been reported already, so that each is reported once. */
	private readonly reportedFaults = new Set<string>();

	constructor(private readonly options: StoredValuesOptions) {}

	/**
	 * True if a record cannot be read, so that controllers may hold allotments that are missing in this
	 * copy.
	 */
	get hasUnreadableRecords(): boolean {
		return [...this.values.values()].some((value) => value.unreadableTeams.length > 0);
	}

	/**
	 * Applies a value of the state service, undefined if the key does not exist, and returns the teams whose
	 * records may have changed. A revision that is not newer than the current one is ignored.
	 */
	apply(key: string, value: unknown, revision: Uint64): string[] {
		const current = this.values.get(key);
		if (current && current.revision >= revision) return [];
		const previousTeams = current ? [...current.records.keys()] : [];
		for (const team of previousTeams) if (this.keyByTeam.get(team) === key) this.keyByTeam.delete(team);
		const { records, faults } = value === undefined ? { records: new Map(), faults: [] } : unpackValue(value);
		for (const { team, fault } of faults) this.reportOnce(key, team, fault);
		this.values.set(key, { revision, records, unreadableTeams: faults.map(({ team }) => team) });
		for (const team of records.keys()) this.keyByTeam.set(team, key);
		return [...new Set([...previousTeams, ...records.keys()])];
	}

	private reportOnce(key: string, team: string, fault: string): void {
		const identity = `${key} ${team} ${fault}`;
		if (this.reportedFaults.has(identity)) return;
		this.reportedFaults.add(identity);
		this.options.onFault(key, team, fault);
	}

	record(team: string): QuotaRecord | undefined {
		const key = this.keyByTeam.get(team);
		return key === undefined ? undefined : this.values.get(key)?.records.get(team);
	}

	get teams(): Iterable<string> {
		return this.keyByTeam.keys();
	}

	/** Returns the writes that store these records, one for each value that changes. */
	writesFor(records: readonly QuotaRecord[]): { condition: StoredCondition; change: StoredChange }[] {
		const byKey = new Map<string, Map<string, QuotaRecord>>();
		for (const record of records) {
			const key = this.keyByTeam.get(record.team) ?? this.keyWithCapacity(record.team, byKey);
			const changedRecords = byKey.get(key) ?? new Map(this.values.get(key)?.records);
			changedRecords.set(record.team, record);
			byKey.set(key, changedRecords);
		}
		return [...byKey].map(([key, changedRecords]) => ({
			condition: { key, revision: this.revisionOf(key) },
			change: { key, value: packValue(changedRecords.values()) },
		}));
	}

	private revisionOf(key: string): Uint64 {
		const value = this.values.get(key);
		return value && (value.records.size > 0 || value.unreadableTeams.length > 0) ? value.revision : 0;
	}

	private keyWithCapacity(team: string, pendingByKey: ReadonlyMap<string, Map<string, QuotaRecord>>): string {
		for (let i = 0; ; i++) {
			const key = `${this.options.keyPrefix}${i}`;
			const records = pendingByKey.get(key) ?? this.values.get(key)?.records ?? new Map();
			if (records.size === 0 || this.maxBytesOf([...records.keys(), team]) <= this.options.maxValueBytes)
				return key;
		}
	}

	/** Counts an allotment for every node, so that a value never exceeds its maximum size later. */
	private maxBytesOf(teams: string[]): number {
		const { nodes, incarnationLength } = this.options;
		return teams.reduce((sum, team) => sum + maxRecordBytes(team, nodes, incarnationLength), 0);
	}
}
