/** Determines whether a controller should receive users' connections. */

import type { StoreReplica } from "../bookkeeping/store-replica.js";
import type { Clock } from "./ports/clock.js";
import type { ReplicaSync } from "./replication/replica-sync.js";

/** A controller without any message from other controllers for longer than this counts as isolated. */
const peerTimeoutMs = 3000;

/** The inputs of the readiness check. */
export interface ReadinessOptions {
	replica: StoreReplica;
	replicaSync: ReplicaSync;
	/** True if there are other controllers. */
	hasPeers: boolean;
	clock: Clock;
}

/** Determines readiness from the state of the store and from the messages of the other controllers about it. */
export class Readiness {
	private peerMessageAt = Number.NEGATIVE_INFINITY;
	private peerStoreReachableAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: ReadinessOptions) {}

	/** Records a message from another controller. */
	onPeerMessage(now: number): void {
		this.peerMessageAt = now;
	}

	/** Records that the leader has reported the store reachable. */
	onPeerStoreReachable(now: number): void {
		this.peerStoreReachableAt = now;
	}

	/**
	 * True if users' connections should go to this controller. If the store does not respond to it, it can only return
	 * 503. It is then not ready if it is isolated or if the store responds to others, since users should connect to
	 * these. If the store responds to no controller, it stays ready, because a controller taken out of rotation would
	 * return late.
	 */
	get ready(): boolean {
		const { replica, replicaSync, hasPeers, clock } = this.options;
		if (!replica.loaded || replica.machineTypes === null) return false;
		if (!replicaSync.unresponsive) return true;
		const now = clock.now();
		const isolated = hasPeers && now - this.peerMessageAt > peerTimeoutMs;
		return !isolated && now - this.peerStoreReachableAt > peerTimeoutMs;
	}
}
