/** The writes of a leader's quota records to the state service. */

import { AllotmentChangeLog } from "./allotment-change-log.js";
import { inUnits, sameAmount } from "./amount.js";
import { allotmentOf, type QuotaRecord } from "./record.js";
import type {
	QuotaStore,
	QuotaWriteResult,
	StoredChange,
	StoredCondition,
	StoredValues,
} from "./stored-values.js";
import type { Uint64 } from "./uint64.js";

/** The log of the process. */
export interface QuotaLog {
	info(fields: object, message: string): void;
	error(fields: object, message: string): void;
}

/** Dependencies of the writer of allotments. */
export interface AllotmentWriterOptions {
	values: StoredValues;
	store: QuotaStore;
	/** A condition of every write, which holds only while this process is the leader. */
	leaderCondition: StoredCondition;
	/** Maximum number of values that one transaction may change. */
	maxChangesPerTransaction: number;
	/** Monotonic time in milliseconds. */
	now(): number;
	/** Runs the command in the serial executor of the process. */
	post(command: () => void): void;
	log: QuotaLog;
	/** Called with the teams whose records have changed. */
	onRecordsChanged(teams: readonly string[]): void;
	/** Called when the size of an allotment of the team has changed. */
	onAllotmentResized(team: string): void;
}

const minWriteIntervalMs = 100;
const retryDelayMs = 300;
/** The state service accepts requests of up to 64 KiB. */
const maxBytesPerWrite = 40 * 1024;

/**
 * Writes records by compare-and-swap, one transaction at a time, and reports the changed records. A write
 * without a response may still be executed later: its conditions prevent it from overwriting anything
 * written since, and the values are read again before the next write.
 */
export class AllotmentWriter {
	private stopped = false;
	private requestInFlight = false;
	private nextWriteAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: AllotmentWriterOptions) {}

	stop(): void {
		this.stopped = true;
	}

	/** True if no request is in flight and the minimum interval since the last write has passed. */
	get canWrite(): boolean {
		return !this.requestInFlight && this.options.now() >= this.nextWriteAt;
	}

	/** Writes as many of the records as fit into one transaction; the caller passes the others again later. */
	write(records: readonly QuotaRecord[]): void {
		const { values, leaderCondition, store, post, now } = this.options;
		if (records.length === 0) return;
		const writes = this.limitToOneTransaction(values.writesFor(records));
		const changes = writes.map(({ change }) => change);
		const conditions = [leaderCondition, ...writes.map(({ condition }) => condition)];
		this.requestInFlight = true;
		this.nextWriteAt = now() + minWriteIntervalMs;
		store.transact(conditions, changes).then(
			(result) => post(() => this.handleResult(changes, result)),
			(error) => post(() => this.handleUnknownOutcome(changes, error)),
		);
	}

	private limitToOneTransaction(
		writes: ReturnType<StoredValues["writesFor"]>,
	): ReturnType<StoredValues["writesFor"]> {
		let bytes = 0;
		const fittingWrites = writes
			.slice(0, Math.max(1, this.options.maxChangesPerTransaction))
			.filter(({ change }) => {
				bytes += Buffer.byteLength(JSON.stringify(change.value));
				return bytes <= maxBytesPerWrite;
			});
		return fittingWrites.length > 0 ? fittingWrites : writes.slice(0, 1);
	}

	private handleResult(changes: StoredChange[], result: QuotaWriteResult): void {
		this.requestInFlight = false;
		if (this.stopped) return;
		if (result.kind === "written")
			for (const { key, value } of changes) this.applyStoredValue(key, value, result.revision);
		else this.readBack(result.keys.filter((key) => key !== this.options.leaderCondition.key));
	}

	private handleUnknownOutcome(changes: StoredChange[], error: unknown): void {
		this.requestInFlight = false;
		this.nextWriteAt = this.options.now() + retryDelayMs;
		this.options.log.info(
			{ err: String(error) },
			"allotment write has no known result, reading the values back",
		);
		if (!this.stopped) this.readBack(changes.map(({ key }) => key));
	}

	private readBack(keys: string[]): void {
		const { store, post, now } = this.options;
		this.requestInFlight = true;
		Promise.all(keys.map(async (key) => ({ key, row: await store.read(key) }))).then(
			(found) =>
				post(() => {
					this.requestInFlight = false;
					for (const { key, row } of found) if (row) this.applyStoredValue(key, row.value, row.revision);
				}),
			() =>
				post(() => {
					this.requestInFlight = false;
					this.nextWriteAt = now() + retryDelayMs;
				}),
		);
	}

	/** Applies a stored value, whether it comes from a write of this process, a watch event or a read. */
	applyStoredValue(key: string, value: unknown, revision: Uint64): void {
		const { values, log } = this.options;
		const before = new Map([...values.teams].map((team) => [team, values.record(team)]));
		const teams = values.apply(key, value, revision);
		this.options.onRecordsChanged(teams);
		const changes = new AllotmentChangeLog();
		for (const team of teams) this.collectChanges(changes, before.get(team), values.record(team));
		for (const [message, fields] of changes.lines()) log.info(fields, message);
	}

	/**
	 * Compares two versions of a record, so that each change is logged once: new limits, recalls with their
	 * reasons, and removed allotments. Also reports resized allotments.
	 */
	private collectChanges(
		changes: AllotmentChangeLog,
		before: QuotaRecord | undefined,
		after: QuotaRecord | undefined,
	): void {
		if (!before || !after) return;
		const { team, revision, inForce } = after;
		if (before.revision !== revision) {
			const limit = inUnits(inForce.limit);
			this.options.log.info({ team, revision, limit }, "team limit in force");
		}
		for (const { node, amount, reason } of after.allotments) {
			const previous = allotmentOf(before, node);
			if (reason !== null && previous?.reason !== reason)
				changes.add("allotments recalled", node, reason, team);
			if (previous && !sameAmount(amount, previous.amount)) this.options.onAllotmentResized(team);
		}
		for (const { node, incarnation } of before.allotments) {
			const current = allotmentOf(after, node);
			if (!current) changes.add("allotments removed", node, null, team);
			else if (current.incarnation !== incarnation)
				changes.add("allotments replaced after the holder process ended", node, null, team);
		}
	}
}
