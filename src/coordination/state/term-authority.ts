/** Whether a leader may still act in its term. */

import type { StoreCondition } from "../../protocol/http/store-api.js";
import { revisionOf, type Term } from "../../protocol/model/identifiers.js";
import { keys } from "../../protocol/records/keys.js";
import type { ResignationReason } from "./resignation-reason.js";

/** What a term's authority rests on. */
export interface TermAuthorityOptions {
	term: Term;
	/** This process may act for the controllers in the term now. */
	mayAct(): boolean;
	/** Gives up leadership. */
	resign(reason: ResignationReason): void;
}

/**
 * The authority of one leader for one term. It is tested at every use, since the process may run late, and ends
 * for good with the term. Every write to the store carries `leaderCondition`, so that a write that is applied
 * late has no effect once another controller leads.
 */
export class TermAuthority {
	readonly term: Term;
	/** The leader key is still as this term's leader wrote it. */
	readonly leaderCondition: StoreCondition;
	#ended = false;

	constructor(private readonly options: TermAuthorityOptions) {
		this.term = options.term;
		this.leaderCondition = { key: keys.leader, revision: revisionOf(options.term) };
	}

	/** The leader may act now. */
	get active(): boolean {
		return !this.#ended && this.options.mayAct();
	}

	/** The term is over for good. */
	get ended(): boolean {
		return this.#ended;
	}

	/** Ends the term. */
	end(): void {
		this.#ended = true;
	}

	/** Gives up leadership. */
	resign(reason: ResignationReason): void {
		this.options.resign(reason);
	}

	/** A write has failed because another controller has written the leader key. */
	leaderKeyLost(): void {
		if (!this.#ended) this.resign("leader key changed");
	}
}
