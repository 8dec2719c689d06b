/**
 * The store's API: rows, compare-and-swap transactions, leases and watches. Functions named `xBody` and `xPath`
 * build requests; functions named `parseX` read responses and throw a MalformedMessageError if a response does not
 * have the published form.
 *
 * | on the wire | here |
 * | --- | --- |
 * | `stamp` | `revision` of a key |
 * | `epoch` | `revision` of the store |
 * | `v` | `value` |
 * | `when`, `then` | conditions and changes of a compare-and-swap |
 * | `put`, `drop` | `put`, `delete`: a change that sets or removes a key |
 * | `failed` | `conflicts`: keys whose conditions did not hold |
 * | `permit` | `leaseId` |
 * | `ttl_ms` | `ttlMs` |
 * | `truncated` | `hasMore`: further rows follow |
 * | `from` | of rows: the key after which they begin; of a watch: the revision after which |
 * | `block_ms` | `waitMs` |
 */

import * as v from "valibot";
import type { LeaseId, Revision } from "../model/identifiers.js";
import { uint64 } from "../model/uint64-schema.js";
import { checkShape, name, orNull } from "../schema-checks.js";
import { paths } from "./paths.js";

/** A key of the store with its value. */
export interface StoreRow {
	key: string;
	value: unknown;
	/** The revision of the latest change of the key. */
	revision: Revision;
}

/** Requires a key to have this revision; 0: requires that the key does not exist. */
export interface StoreCondition {
	key: string;
	revision: Revision;
}

/** Sets a key, which is attached to the lease if one is given, or deletes a key. */
export type StoreChange = { put: string; value: unknown; leaseId?: LeaseId } | { delete: string };

/** A change that a watch reports. */
export interface StoreEvent {
	key: string;
	/** undefined: the key was deleted. */
	value: unknown;
	revision: Revision;
}

/** Returns the path of a key's row. Slashes in keys are not escaped. */
export function rowPath(key: string): string {
	return `${paths.store}/${key}`;
}

const RowBody = v.object({ key: name, v: v.unknown(), stamp: uint64 });

/** Parses a row. */
export function parseRow(raw: unknown): StoreRow {
	return toRow(checkShape(RowBody, raw));
}

function toRow({ key, v: value, stamp }: v.InferOutput<typeof RowBody>): StoreRow {
	return { key, value, revision: stamp };
}

/**
 * Returns the path of one page of the rows below a prefix, which are ordered by key.
 *
 * @param afterKey The page begins after this key; null: with the first row.
 */
export function rowsPath(prefix: string, afterKey: string | null, limit: number): string {
	const from = afterKey === null ? "" : `&from=${afterKey}`;
	return `${paths.store}?prefix=${prefix}${from}&limit=${limit}`;
}

const RowsBody = v.object({
	rows: v.array(RowBody),
	truncated: orNull(v.boolean()),
	epoch: uint64,
});

/** Parses a page of rows, with a flag for further rows and the store revision that the page shows. */
export function parseRows(raw: unknown): { rows: StoreRow[]; hasMore: boolean; revision: Revision } {
	const { rows, truncated, epoch } = checkShape(RowsBody, raw);
	return { rows: rows.map(toRow), hasMore: truncated === true, revision: epoch };
}

/**
 * Returns the body of a transaction that makes all changes if all conditions hold. Without changes it only checks
 * the conditions.
 */
export function compareAndSwapBody(conditions: StoreCondition[], changes: StoreChange[]) {
	const when = conditions.map(({ key, revision }) => ({ key, stamp: revision }));
	if (changes.length === 0) return { when };
	// biome-ignore lint/suspicious/noThenProperty: the store's name of the field
	return { when, then: changes.map(changeBody) };
}

function changeBody(change: StoreChange) {
	if (!("put" in change)) return { drop: change.delete };
	const put = { put: change.put, v: change.value };
	return change.leaseId === undefined ? put : { ...put, permit: change.leaseId };
}

const RevisionBody = v.object({ epoch: uint64 });

/** Parses a response that contains only a revision. */
export function parseRevision(raw: unknown): Revision {
	return checkShape(RevisionBody, raw).epoch;
}

const ConflictsBody = v.object({ failed: v.array(v.string()), epoch: uint64 });

/** Parses the keys whose conditions did not hold, and the revision at which they were checked. */
export function parseConflicts(raw: unknown): { conflicts: string[]; revision: Revision } {
	const { failed, epoch } = checkShape(ConflictsBody, raw);
	return { conflicts: failed, revision: epoch };
}

/** Returns the body of a request for a lease that expires unless it is renewed within this time. */
export function grantLeaseBody(ttlMs: number) {
	return { ttl_ms: ttlMs };
}

const LeaseBody = v.object({ permit: uint64 });

/** Parses the id of a granted lease. */
export function parseLeaseId(raw: unknown): LeaseId {
	return checkShape(LeaseBody, raw).permit;
}

/** Returns the path for revoking a lease. */
export function leasePath(lease: LeaseId): string {
	return `${paths.leases}/${lease}`;
}

/** Returns the path for renewing a lease. */
export function renewLeasePath(lease: LeaseId): string {
	return `${leasePath(lease)}/renew`;
}

/** The body of a request that renews a lease. It is empty because the path identifies the lease. */
export const renewLeaseBody = {} as const;

/**
 * Returns the path of a watch for the changes below a prefix after a revision.
 *
 * @param waitMs The time for which the store waits for a change before it responds without one; 0: it does not
 * wait.
 */
export function watchPath(prefix: string, afterRevision: Revision, waitMs: number): string {
	return `${paths.watch}?prefix=${prefix}&from=${afterRevision}&block_ms=${waitMs}`;
}

const PutEventBody = v.object({ put: name, v: v.unknown(), stamp: uint64 });
const DropEventBody = v.object({ drop: name, stamp: uint64 });
const EventsBody = v.object({
	epoch: uint64,
	events: v.array(v.union([PutEventBody, DropEventBody])),
});

/** Parses the changes that a watch reports, and the revision up to which they are complete. */
export function parseEvents(raw: unknown): { events: StoreEvent[]; revision: Revision } {
	const { events, epoch } = checkShape(EventsBody, raw);
	return { events: events.map(toEvent), revision: epoch };
}

function toEvent(event: v.InferOutput<typeof EventsBody>["events"][number]): StoreEvent {
	if ("put" in event) return { key: event.put, value: event.v, revision: event.stamp };
	return { key: event.drop, value: undefined, revision: event.stamp };
}
