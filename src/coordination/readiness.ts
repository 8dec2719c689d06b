/** Whether a controller should receive users' connections. */

import type { StoreReplica } from "../bookkeeping/store-replica.js";
import type { Clock } from "./ports/clock.js";
import type { ReplicaSync } from "./replication/replica-sync.js";

/** Other controllers unheard for this long are taken to be out of reach. */
const isolatedMs = 3000;

/** What readiness is judged by. */
export interface ReadinessOptions {
	replica: StoreReplica;
	replicaSync: ReplicaSync;
	/** There are other controllers. */
	hasPeers: boolean;
	clock: Clock;
}

/** Judges readiness by the store and by what the other controllers say about it. */
export class Readiness {
	private peerHeardAt = Number.NEGATIVE_INFINITY;
	private storeServesPeerAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: ReadinessOptions) {}

	/** Another controller has sent a message. */
	peerHeard(now: number): void {
		this.peerHeardAt = now;
	}

	/** The leader has said that the store answers it. */
	storeServesPeer(now: number): void {
		this.storeServesPeerAt = now;
	}

	/**
	 * A controller that the store does not answer can only respond 503. If the store serves others, users are better
	 * off there; if it serves nobody, a controller that is taken out of rotation would come back late.
	 */
	get ready(): boolean {
		const { replica, replicaSync, hasPeers, clock } = this.options;
		if (!replica.loaded || replica.machineTypes === null) return false;
		if (!replicaSync.unresponsive) return true;
		const now = clock.now();
		const isolated = hasPeers && now - this.peerHeardAt > isolatedMs;
		return !isolated && now - this.storeServesPeerAt > isolatedMs;
	}
}
