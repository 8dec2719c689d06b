/** Values with their revision in the store, so that changes can arrive in any order. */

import type { Revision } from "../protocol/model/identifiers.js";

/** A value of the store and the revision of the change that wrote it. */
export interface Versioned<T> {
	value: T;
	revision: Revision;
}

/** True if a change of this revision is later than the current value. */
export function isNewer(revision: Revision, current: Versioned<unknown> | null | undefined): boolean {
	return !current || current.revision < revision;
}

/** Values by key. A change never replaces or removes a value with a higher revision. */
export class VersionedMap<T> {
	readonly #entries = new Map<string, Versioned<T>>();

	/** Live view of the values. */
	get entries(): ReadonlyMap<string, Versioned<T>> {
		return this.#entries;
	}

	/** Sets a value unless the current one is at least as recent. Returns true if the value was set. */
	put(key: string, value: T, revision: Revision): boolean {
		if (!isNewer(revision, this.#entries.get(key))) return false;
		this.#entries.set(key, { value, revision });
		return true;
	}

	/** Removes a value unless it is later than the removal. Returns true if a value was removed. */
	remove(key: string, revision: Revision): boolean {
		const current = this.#entries.get(key);
		if (!current || current.revision > revision) return false;
		return this.#entries.delete(key);
	}

	/** Removes all values. */
	clear(): void {
		this.#entries.clear();
	}
}
