/**
 * The store's API: rows, compare-and-swap transactions, leases and watches. `xBody` and `xPath` make requests,
 * `xFrom` reads responses and throws a MalformedMessageError for one that lacks the published form.
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
 * | `truncated` | `more` rows follow |
 * | `from` | of rows: the key after which they begin; of a watch: the revision after which |
 * | `block_ms` | `waitMs` |
 */

import * as v from "valibot";
import type { LeaseId, Revision } from "../model/identifiers.js";
import { checkShape, name, nonNegativeInteger, orNull } from "../schema-checks.js";
import { paths } from "./paths.js";

/** A key of the store with its value. */
export interface StoreRow {
	key: string;
	value: unknown;
	/** Revision at which the key last changed. */
	revision: Revision;
}

/** A key must have this revision; 0: it must not exist. */
export interface StoreCondition {
	key: string;
	revision: Revision;
}

/** A key that is set, and attached to a lease if one is given; or one that is deleted. */
export type StoreChange = { put: string; value: unknown; leaseId?: LeaseId } | { delete: string };

/** A change that a watch reports. */
export interface StoreEvent {
	key: string;
	/** undefined: the key was deleted */
	value: unknown;
	revision: Revision;
}

/** Path of a key's row. Slashes in keys stay as they are. */
export function rowPath(key: string): string {
	return `${paths.store}/${key}`;
}

const RowBody = v.object({ key: name, v: v.unknown(), stamp: nonNegativeInteger });

/** Reads a row. */
export function parseRow(raw: unknown): StoreRow {
	return toRow(checkShape(RowBody, raw));
}

function toRow({ key, v: value, stamp }: v.InferOutput<typeof RowBody>): StoreRow {
	return { key, value, revision: stamp };
}

/**
 * Path of a page of the rows below a prefix, in the order of their keys.
 *
 * @param afterKey The page begins after this key; null: with the first one.
 */
export function rowsPath(prefix: string, afterKey: string | null, limit: number): string {
	const from = afterKey === null ? "" : `&from=${afterKey}`;
	return `${paths.store}?prefix=${prefix}${from}&limit=${limit}`;
}

const RowsBody = v.object({
	rows: v.array(RowBody),
	truncated: orNull(v.boolean()),
	epoch: nonNegativeInteger,
});

/** Reads a page of rows, whether more follow, and the revision of the store that it shows. */
export function parseRows(raw: unknown): { rows: StoreRow[]; hasMore: boolean; revision: Revision } {
	const { rows, truncated, epoch } = checkShape(RowsBody, raw);
	return { rows: rows.map(toRow), hasMore: truncated === true, revision: epoch };
}

/** The request that makes all changes if all conditions hold. Without changes it only compares. */
export function compareAndSwapBody(conditions: StoreCondition[], changes: StoreChange[]) {
	const when = conditions.map(({ key, revision }) => ({ key, stamp: revision }));
	if (changes.length === 0) return { when };
	// biome-ignore lint/suspicious/noThenProperty: the store's own word for the changes
	return { when, then: changes.map(changeBody) };
}

function changeBody(change: StoreChange) {
	if (!("put" in change)) return { drop: change.delete };
	const put = { put: change.put, v: change.value };
	return change.leaseId === undefined ? put : { ...put, permit: change.leaseId };
}

const RevisionBody = v.object({ epoch: nonNegativeInteger });

/** Reads the revision of a response that holds nothing else. */
export function parseRevision(raw: unknown): Revision {
	return checkShape(RevisionBody, raw).epoch;
}

const ConflictsBody = v.object({ failed: v.array(v.string()), epoch: nonNegativeInteger });

/** Reads the keys whose conditions did not hold, as of a revision. */
export function parseConflicts(raw: unknown): { conflicts: string[]; revision: Revision } {
	const { failed, epoch } = checkShape(ConflictsBody, raw);
	return { conflicts: failed, revision: epoch };
}

/** The request for a lease that ends unless it is renewed within this time. */
export function grantLeaseBody(ttlMs: number) {
	return { ttl_ms: ttlMs };
}

const LeaseBody = v.object({ permit: nonNegativeInteger });

/** Reads the lease that was granted. */
export function parseLeaseId(raw: unknown): LeaseId {
	return checkShape(LeaseBody, raw).permit;
}

/** Path of a lease, to be revoked. */
export function leasePath(lease: LeaseId): string {
	return `${paths.leases}/${lease}`;
}

/** Path at which a lease is renewed. */
export function renewLeasePath(lease: LeaseId): string {
	return `${leasePath(lease)}/renew`;
}

/** The request that renews a lease: all is said by its path. */
export const renewLeaseBody = {} as const;

/**
 * Path of a watch: the changes below a prefix after a revision.
 *
 * @param waitMs How long the store waits for a change before it answers without one; 0: not at all.
 */
export function watchPath(prefix: string, afterRevision: Revision, waitMs: number): string {
	return `${paths.watch}?prefix=${prefix}&from=${afterRevision}&block_ms=${waitMs}`;
}

const PutEventBody = v.object({ put: name, v: v.unknown(), stamp: nonNegativeInteger });
const DropEventBody = v.object({ drop: name, stamp: nonNegativeInteger });
const EventsBody = v.object({
	epoch: nonNegativeInteger,
	events: v.array(v.union([PutEventBody, DropEventBody])),
});

/** Reads the changes that a watch reports, and the revision up to which they are all there. */
export function parseEvents(raw: unknown): { events: StoreEvent[]; revision: Revision } {
	const { events, epoch } = checkShape(EventsBody, raw);
	return { events: events.map(toEvent), revision: epoch };
}

function toEvent(event: v.InferOutput<typeof EventsBody>["events"][number]): StoreEvent {
	if ("put" in event) return { key: event.put, value: event.v, revision: event.stamp };
	return { key: event.drop, value: undefined, revision: event.stamp };
}
