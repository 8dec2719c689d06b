import { largestRecordBytes, type PackedQuotaValue, packValue, unpackValue } from "./packed-record.js";
import type { QuotaRecord } from "./record.js";

export interface StoredChange {
	key: string;
	value: PackedQuotaValue;
}

export interface StoredCondition {
	key: string;
	/** 0 requires that the key does not exist. */
	revision: number;
}

export type QuotaWriteResult =
	| { kind: "written"; revision: number }
	/** The keys whose revisions differ from the conditions. */
	| { kind: "conflict"; keys: string[] };

export interface QuotaRow {
	key: string;
	value: unknown;
	revision: number;
}

/** The operations of the state service that the package uses. A call that fails may or may not be executed. */
export interface QuotaStore {
	transact(conditions: StoredCondition[], changes: StoredChange[]): Promise<QuotaWriteResult>;
	/** Returns null if the key does not exist. */
	read(key: string): Promise<QuotaRow | null>;
	rows(prefix: string): Promise<QuotaRow[]>;
}

interface StoredValue {
	revision: number;
	records: Map<string, QuotaRecord>;
	/** Teams whose records in this value cannot be read. */
	faults: string[];
}

export interface StoredValuesOptions {
	/** Prefix of the keys of stored quota values. */
	prefix: string;
	nodes: readonly string[];
	incarnationLength: number;
	/** Maximum size of a written value. */
	mostBytes: number;
	fault(key: string, team: string, fault: string): void;
}

/** The process's in-memory copy of the stored records, with the key of the value that contains each. */
export class StoredValues {
	private readonly values = new Map<string, StoredValue>();
	private readonly keyOf = new Map<string, string>();
	/** Faults of unreadable records that have been reported already, so that each is reported once. */
	private readonly reported = new Set<string>();

	constructor(private readonly options: StoredValuesOptions) {}

	/**
	 * True if a record cannot be read, so that a controller may hold allotments that this process does
	 * not know.
	 */
	get unreadable(): boolean {
		return [...this.values.values()].some((value) => value.faults.length > 0);
	}

	/**
	 * Applies a value of the state service, undefined if the key does not exist, and returns the teams whose
	 * records may have changed. A revision that is not newer than the current one is ignored.
	 */
	learn(key: string, value: unknown, revision: number): string[] {
		const known = this.values.get(key);
		if (known && known.revision >= revision) return [];
		const before = known ? [...known.records.keys()] : [];
		for (const team of before) if (this.keyOf.get(team) === key) this.keyOf.delete(team);
		const { records, faults } = value === undefined ? { records: new Map(), faults: [] } : unpackValue(value);
		for (const { team, fault } of faults) this.report(key, team, fault);
		this.values.set(key, { revision, records, faults: faults.map(({ team }) => team) });
		for (const team of records.keys()) this.keyOf.set(team, key);
		return [...new Set([...before, ...records.keys()])];
	}

	private report(key: string, team: string, fault: string): void {
		const what = `${key} ${team} ${fault}`;
		if (this.reported.has(what)) return;
		this.reported.add(what);
		this.options.fault(key, team, fault);
	}

	record(team: string): QuotaRecord | undefined {
		const key = this.keyOf.get(team);
		return key === undefined ? undefined : this.values.get(key)?.records.get(team);
	}

	get teams(): Iterable<string> {
		return this.keyOf.keys();
	}

	/** Returns the writes that store these records, one for each value that changes. */
	changesFor(records: readonly QuotaRecord[]): { condition: StoredCondition; change: StoredChange }[] {
		const byKey = new Map<string, Map<string, QuotaRecord>>();
		for (const record of records) {
			const key = this.keyOf.get(record.team) ?? this.keyWithRoom(record.team, byKey);
			const changed = byKey.get(key) ?? new Map(this.values.get(key)?.records);
			changed.set(record.team, record);
			byKey.set(key, changed);
		}
		return [...byKey].map(([key, changed]) => ({
			condition: { key, revision: this.revisionOf(key) },
			change: { key, value: packValue(changed.values()) },
		}));
	}

	private revisionOf(key: string): number {
		const value = this.values.get(key);
		return value && (value.records.size > 0 || value.faults.length > 0) ? value.revision : 0;
	}

	private keyWithRoom(team: string, changing: ReadonlyMap<string, Map<string, QuotaRecord>>): string {
		for (let i = 0; ; i++) {
			const key = `${this.options.prefix}${i}`;
			const there = changing.get(key) ?? this.values.get(key)?.records ?? new Map();
			if (there.size === 0 || this.bytesOf([...there.keys(), team]) <= this.options.mostBytes) return key;
		}
	}

	/** Counts an allotment for every node, so that a value never exceeds its maximum size later. */
	private bytesOf(teams: string[]): number {
		const { nodes, incarnationLength } = this.options;
		return teams.reduce((sum, team) => sum + largestRecordBytes(team, nodes, incarnationLength), 0);
	}
}
