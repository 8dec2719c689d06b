/** Why a leader gives up its term. */

/** Reasons of which all is said by their name. */
type PlainReason =
	/** The process ends in good order. */
	| "controller stopping"
	/** The store no longer has the lease that the leader key is attached to. */
	| "leader lease expired"
	/** A write was refused because the leader key has another revision by now. */
	| "leader key changed"
	/** The store renews the lease, but changes do not arrive, so cancellations may be unknown here. */
	| "store changes do not arrive"
	/** All attempt numbers of the term have been used: a new term has new ones. */
	| "attempt numbers exhausted";

/** The reason that is logged with `leadership lost`. */
export type ResignationReason =
	| PlainReason
	/** Most workers turn to another controller. */
	| `workers do not reach this controller: ${number} of ${number} heard`;
