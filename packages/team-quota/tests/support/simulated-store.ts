import { unpackValue } from "../../src/packed-record.js";
import type { QuotaRecord } from "../../src/record.js";
import type { QuotaStore, QuotaWriteResult, StoredChange, StoredCondition } from "../../src/stored-values.js";

interface Row {
	value: unknown;
	revision: number;
}

export interface SimulatedStoreOptions {
	randomInt(from: number, to: number): number;
	randomChance(probability: number): boolean;
	schedule(ms: number, run: () => void): void;
	/** Fraction of writes that get no answer, and may be executed late. */
	writeFailureRate(): number;
	/** Called with each written value. */
	onWritten(key: string, value: unknown, revision: number): void;
	/** Called with each record of a written value. */
	onRecordWritten(record: QuotaRecord): void;
}

const maxWriteDelayMs = 400;
/** Fraction of the writes without an answer that are executed at all. */
const lateWriteRate = 0.7;

/** The state service: rows with revisions, and writes that may be lost, late or refused during an outage. */
export class SimulatedStore {
	readonly rows = new Map<string, Row>();
	outage = false;
	writeCount = 0;
	private revision = 0;

	constructor(private readonly options: SimulatedStoreOptions) {}

	/** Writes a row without conditions and without an event. Returns its revision. */
	put(key: string, value: unknown): number {
		this.revision += 1;
		this.rows.set(key, { value, revision: this.revision });
		return this.revision;
	}

	/** Returns the store as a controller or an operator's command uses it. */
	createClient(): QuotaStore {
		return {
			read: async (key) => {
				this.throwDuringOutage();
				const row = this.rows.get(key);
				return row ? { key, ...row } : null;
			},
			readPrefix: async (prefix) => {
				this.throwDuringOutage();
				return [...this.rows]
					.filter(([key]) => key.startsWith(prefix))
					.map(([key, row]) => ({ key, ...row }));
			},
			transact: async (conditions, changes) => {
				this.throwDuringOutage();
				return this.transactOrFail(conditions, changes);
			},
		};
	}

	private throwDuringOutage(): void {
		if (this.outage) throw new Error("out");
	}

	private transactOrFail(conditions: StoredCondition[], changes: StoredChange[]): QuotaWriteResult {
		const { randomChance, randomInt, schedule, writeFailureRate } = this.options;
		if (!randomChance(writeFailureRate())) return this.transact(conditions, changes);
		// The write is executed now, later or never, and gets no answer in any case.
		if (randomChance(lateWriteRate))
			schedule(randomInt(0, maxWriteDelayMs), () => void this.transact(conditions, changes));
		throw new Error("no answer");
	}

	private transact(conditions: StoredCondition[], changes: StoredChange[]): QuotaWriteResult {
		const keys = conditions
			.filter(({ key, revision }) => (this.rows.get(key)?.revision ?? 0) !== revision)
			.map(({ key }) => key);
		if (keys.length > 0) return { kind: "conflict", keys };
		this.revision += 1;
		this.writeCount += 1;
		for (const { key, value } of changes) this.write(key, value, this.revision);
		return { kind: "written", revision: this.revision };
	}

	private write(key: string, value: unknown, revision: number): void {
		this.rows.set(key, { value, revision });
		const { records, faults } = unpackValue(value);
		if (faults.length > 0) throw new Error(`written: ${JSON.stringify(faults)}`);
		for (const record of records.values()) this.options.onRecordWritten(record);
		this.options.onWritten(key, value, revision);
	}
}
