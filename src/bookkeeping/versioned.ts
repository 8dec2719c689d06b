/** Values with the revision that they have in the store, so that news that arrives out of order does no harm. */

import type { Revision } from "../protocol/model/identifiers.js";

/** A value of the store and the revision of the change that wrote it. */
export interface Versioned<T> {
	value: T;
	revision: Revision;
}

/** Whether a change of that revision comes after what is known. */
export function isNewer(revision: Revision, known: Versioned<unknown> | null | undefined): boolean {
	return !known || known.revision < revision;
}

/** Values by key. A change never replaces or removes the result of a later one. */
export class VersionedMap<T> {
	readonly #entries = new Map<string, Versioned<T>>();

	/** The values as they are now and will be. */
	get entries(): ReadonlyMap<string, Versioned<T>> {
		return this.#entries;
	}

	/** Takes over a value, unless a later one is known. Returns whether it was taken over. */
	put(key: string, value: T, revision: Revision): boolean {
		if (!isNewer(revision, this.#entries.get(key))) return false;
		this.#entries.set(key, { value, revision });
		return true;
	}

	/** Removes a value, unless it is later than the removal. Returns whether there was one to remove. */
	remove(key: string, revision: Revision): boolean {
		const known = this.#entries.get(key);
		if (!known || known.revision > revision) return false;
		return this.#entries.delete(key);
	}

	/** Forgets all values. */
	clear(): void {
		this.#entries.clear();
	}
}
