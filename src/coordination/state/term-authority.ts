/** The authority of a leader to act in its term. */

import type { StoreCondition } from "../../protocol/http/store-api.js";
import { revisionOf, type Term } from "../../protocol/model/identifiers.js";
import { keys } from "../../protocol/records/keys.js";
import type { ResignationReason } from "./resignation-reason.js";

/** Dependencies of a term's authority. */
export interface TermAuthorityOptions {
	term: Term;
	/** True if this process has authority in the term now. */
	mayAct(): boolean;
	/** Ends the term. */
	resign(reason: ResignationReason): void;
}

/**
 * The authority of one leader for one term. It is checked at every use, since the process may be delayed at any time,
 * and ends permanently with the term. Every write to the store has `leaderCondition` among its conditions, so that a
 * write that is applied late has no effect once another controller leads.
 */
export class TermAuthority {
	readonly term: Term;
	/** Holds as long as the leader key has the revision of this term. */
	readonly leaderCondition: StoreCondition;
	#ended = false;

	constructor(private readonly options: TermAuthorityOptions) {
		this.term = options.term;
		this.leaderCondition = { key: keys.leader, revision: revisionOf(options.term) };
	}

	/** True if the leader may act now. */
	get active(): boolean {
		return !this.#ended && this.options.mayAct();
	}

	/** True if the term has ended. */
	get ended(): boolean {
		return this.#ended;
	}

	/** Withdraws the authority permanently, when the term has ended. */
	end(): void {
		this.#ended = true;
	}

	/** Resigns, which ends the term. */
	resign(reason: ResignationReason): void {
		this.options.resign(reason);
	}

	/** Resigns after a write has failed because another controller has written the leader key. */
	leaderKeyLost(): void {
		if (!this.#ended) this.resign("leader key changed");
	}
}
