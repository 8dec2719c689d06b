import * as v from "valibot";
import { checkShape, count, name, orNull } from "../checks.js";
import type { Revision } from "../model/identifiers.js";
import { paths } from "./paths.js";

/** The state service's API: rows, transactions, leases and watches. */

export interface StoreRow {
	key: string;
	value: unknown;
	revision: number;
}

/** A key must have this revision; 0: it must not exist. */
export interface StoreCondition {
	key: string;
	revision: number;
}

export type StoreChange = { put: string; value: unknown; leaseId?: number } | { delete: string };

export interface StoreEvent {
	key: string;
	/** undefined: the key was removed */
	value: unknown;
	revision: number;
}

export function compareAndSwapBody(conditions: StoreCondition[], changes: StoreChange[]) {
	const when = conditions.map((c) => ({ key: c.key, stamp: c.revision }));
	if (changes.length === 0) return { when };
	// biome-ignore lint/suspicious/noThenProperty: the state service's own word for the changes
	return { when, then: changes.map(changeBody) };
}

function changeBody(change: StoreChange) {
	if (!("put" in change)) return { drop: change.delete };
	const put = { put: change.put, v: change.value };
	return change.leaseId === undefined ? put : { ...put, permit: change.leaseId };
}

const Row = v.object({ key: name, v: v.unknown(), stamp: count });

export function rowFrom(raw: unknown): StoreRow {
	const row = checkShape(Row, raw);
	return { key: row.key, value: row.v, revision: row.stamp };
}

const Rows = v.object({ rows: v.array(Row), truncated: orNull(v.boolean()), epoch: count });

export function rowsFrom(raw: unknown): { rows: StoreRow[]; more: boolean; revision: number } {
	const page = checkShape(Rows, raw);
	return {
		rows: page.rows.map((row) => ({ key: row.key, value: row.v, revision: row.stamp })),
		more: page.truncated === true,
		revision: page.epoch,
	};
}

const RevisionBody = v.object({ epoch: count });

/** The revision in an answer that holds nothing else. */
export function revisionFrom(raw: unknown): Revision {
	return checkShape(RevisionBody, raw).epoch;
}

const ConflictsBody = v.object({ failed: v.array(v.string()), epoch: count });

/** The keys whose conditions did not hold, as of a revision. */
export function conflictsFrom(raw: unknown): { conflicts: string[]; revision: Revision } {
	const { failed, epoch } = checkShape(ConflictsBody, raw);
	return { conflicts: failed, revision: epoch };
}

const Lease = v.object({ permit: count });

export function leaseIdFrom(raw: unknown): number {
	return checkShape(Lease, raw).permit;
}

const Events = v.object({
	epoch: count,
	events: v.array(
		v.union([v.object({ put: name, v: v.unknown(), stamp: count }), v.object({ drop: name, stamp: count })]),
	),
});

export function eventsFrom(raw: unknown): { events: StoreEvent[]; revision: Revision } {
	const { events, epoch } = checkShape(Events, raw);
	return {
		events: events.map((event) =>
			"put" in event
				? { key: event.put, value: event.v, revision: event.stamp }
				: { key: event.drop, value: undefined, revision: event.stamp },
		),
		revision: epoch,
	};
}

export function rowsPath(prefix: string, after: string | null, limit: number): string {
	return `${paths.store}?prefix=${prefix}${after === null ? "" : `&from=${after}`}&limit=${limit}`;
}

export function watchPath(prefix: string, from: number, waitMs: number): string {
	return `${paths.watch}?prefix=${prefix}&from=${from}&block_ms=${waitMs}`;
}
