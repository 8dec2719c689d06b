/** The reasons for which a leader resigns. */

/** The reasons without further data. */
type FixedReason =
	/** The process shuts down gracefully. */
	| "controller stopping"
	/** The store no longer has the lease that the leader key is attached to. */
	| "leader lease expired"
	/** A write was refused because the leader key has another revision. */
	| "leader key changed"
	/** The store renews the lease, but its changes do not arrive, so this leader may lack cancellations. */
	| "store changes do not arrive"
	/** All attempt numbers of the term are used up; a new term has a new range. */
	| "attempt numbers exhausted";

/** The field `reason` of the log line `leadership lost`. */
export type ResignationReason =
	| FixedReason
	/** Another controller receives heartbeats of more workers than this one. */
	| `workers do not reach this controller: ${number} of ${number} reachable`;
