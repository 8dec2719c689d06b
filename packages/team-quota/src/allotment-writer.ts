import { inUnits, same } from "./amount.js";
import { MoveLog } from "./move-log.js";
import { allotmentOf, type QuotaRecord } from "./record.js";
import type {
	QuotaStore,
	QuotaWriteResult,
	StoredChange,
	StoredCondition,
	StoredValues,
} from "./stored-values.js";

export interface QuotaLog {
	info(fields: object, message: string): void;
	error(fields: object, message: string): void;
}

export interface AllotmentWriterOptions {
	values: StoredValues;
	store: QuotaStore;
	/** A condition of every write, which holds only while this process is the leader. */
	leaderCondition: StoredCondition;
	/** Maximum number of values that one transaction may change. */
	mostChanges: number;
	/** Monotonic time in milliseconds. */
	now(): number;
	/** Runs the command in the queue of the process that owns this object. */
	post(command: () => void): void;
	log: QuotaLog;
	/** Called with the teams whose records have changed. */
	learned(teams: readonly string[]): void;
	/** Called when the size of an allotment of the team has changed. */
	moved(team: string): void;
}

const writeEveryMs = 100;
const retryMs = 300;
/** The state service accepts requests of up to 64 KiB. */
const mostBytesPerWrite = 40 * 1024;

/**
 * Writes records by compare-and-set, one transaction at a time, and reports the changed records. A write
 * without an answer may still be executed later: its conditions prevent it from overwriting anything
 * written since, and the values are read again before the next write.
 */
export class AllotmentWriter {
	private ended = false;
	private writing = false;
	private nextWrite = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: AllotmentWriterOptions) {}

	end(): void {
		this.ended = true;
	}

	/** True if no request is in flight and the minimum interval since the last write has passed. */
	get ready(): boolean {
		return !this.writing && this.options.now() >= this.nextWrite;
	}

	/** Writes as many of the records as fit into one transaction; the caller passes the others again later. */
	write(records: readonly QuotaRecord[]): void {
		const { values, leaderCondition, store, post, now } = this.options;
		if (records.length === 0) return;
		const writes = this.fitting(values.changesFor(records));
		const changes = writes.map(({ change }) => change);
		const conditions = [leaderCondition, ...writes.map(({ condition }) => condition)];
		this.writing = true;
		this.nextWrite = now() + writeEveryMs;
		store.transact(conditions, changes).then(
			(result) => post(() => this.answered(changes, result)),
			(error) => post(() => this.uncertain(changes, error)),
		);
	}

	private fitting(writes: ReturnType<StoredValues["changesFor"]>): ReturnType<StoredValues["changesFor"]> {
		let bytes = 0;
		const fitting = writes.slice(0, Math.max(1, this.options.mostChanges)).filter(({ change }) => {
			bytes += Buffer.byteLength(JSON.stringify(change.value));
			return bytes <= mostBytesPerWrite;
		});
		return fitting.length > 0 ? fitting : writes.slice(0, 1);
	}

	private answered(changes: StoredChange[], result: QuotaWriteResult): void {
		this.writing = false;
		if (this.ended) return;
		if (result.kind === "written")
			for (const { key, value } of changes) this.learn(key, value, result.revision);
		else this.readBack(result.keys.filter((key) => key !== this.options.leaderCondition.key));
	}

	private uncertain(changes: StoredChange[], error: unknown): void {
		this.writing = false;
		this.nextWrite = this.options.now() + retryMs;
		this.options.log.info(
			{ err: String(error) },
			"allotment write has no known result, reading the values back",
		);
		if (!this.ended) this.readBack(changes.map(({ key }) => key));
	}

	private readBack(keys: string[]): void {
		const { store, post, now } = this.options;
		this.writing = true;
		Promise.all(keys.map(async (key) => ({ key, row: await store.read(key) }))).then(
			(found) =>
				post(() => {
					this.writing = false;
					for (const { key, row } of found) if (row) this.learn(key, row.value, row.revision);
				}),
			() =>
				post(() => {
					this.writing = false;
					this.nextWrite = now() + retryMs;
				}),
		);
	}

	/** Applies a stored value, whether it comes from a write of this process, a watch event or a read. */
	learn(key: string, value: unknown, revision: number): void {
		const { values, log } = this.options;
		const before = new Map([...values.teams].map((team) => [team, values.record(team)]));
		const teams = values.learn(key, value, revision);
		this.options.learned(teams);
		const moves = new MoveLog();
		for (const team of teams) this.noteChange(moves, before.get(team), values.record(team));
		for (const [message, fields] of moves.lines()) log.info(fields, message);
	}

	/**
	 * Collects the log entries for changes between two versions of a record: limits, recalls with
	 * reasons, removals.
	 */
	private noteChange(moves: MoveLog, before: QuotaRecord | undefined, after: QuotaRecord | undefined): void {
		if (!before || !after) return;
		const { team, revision, inForce } = after;
		if (before.revision !== revision) {
			const limit = { cpus: inUnits(inForce.limit.cpus), gpus: inUnits(inForce.limit.gpus) };
			this.options.log.info({ team, revision, limit }, "team limit in force");
		}
		for (const { node, amount, reason } of after.allotments) {
			const old = allotmentOf(before, node);
			if (reason !== null && old?.reason !== reason) moves.add("allotments recalled", node, reason, team);
			if (old && !same(amount, old.amount)) this.options.moved(team);
		}
		for (const { node, incarnation } of before.allotments) {
			const held = allotmentOf(after, node);
			if (!held) moves.add("allotments removed", node, null, team);
			else if (held.incarnation !== incarnation)
				moves.add("allotments replaced after the holder process ended", node, null, team);
		}
	}
}
