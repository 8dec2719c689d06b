/** The leader's state of the worker on a machine: its lease, its agent epoch and whether responses reach it. */

import type { AgentEpoch, HeartbeatSequence } from "../protocol/model/identifiers.js";
import { nextUint64 } from "../protocol/model/uint64.js";
import type { WorkerHeartbeat } from "../protocol/model/worker.js";

/** Number of ineffective responses in a row after which the worker counts as unreachable: a single one may be lost. */
const unreachableResponseThreshold = 2;

/**
 * A worker whose lease has not expired for this many lease durations must have received responses: without them the
 * lease would have expired.
 */
const reachableLeaseFactor = 1.5;

/** Evidence in a heartbeat for whether earlier responses reached the worker. */
export interface ResponseEffects {
	/** True if the worker's lease expired although responses were sent to it recently. */
	leaseExpired: boolean;
	/** True if a start command was sent, and the following heartbeat does not list the attempt. */
	startMissing: boolean;
	/** True if the heartbeat lists an attempt for which a start command was sent. */
	startListed: boolean;
}

/** One leader's state of a worker. Only heartbeats, responses and the expiry of the worker's lease change it. */
export class WorkerAgent {
	#endpoint = "";
	#epoch: AgentEpoch = 0;
	#minEpoch: AgentEpoch = 0;
	#sequence: HeartbeatSequence = -1;
	#running = false;
	#fenced = false;
	#leaseExpired = false;
	#lastHeartbeatAt = Number.NEGATIVE_INFINITY;
	#lastResponseAt: number;
	#lastRedirectAt = Number.NEGATIVE_INFINITY;
	#ineffectiveResponses = 0;
	#lastIneffectiveAt = Number.NEGATIVE_INFINITY;
	#unreachableSince: number | null = null;

	/**
	 * @param addedAt Monotonic time at which this leader added the machine: until then a response of an earlier leader may
	 *   have renewed the worker's lease.
	 */
	constructor(readonly addedAt: number) {
		this.#lastResponseAt = addedAt;
	}

	/** Address of the worker, `host:port`; empty: not known. */
	get endpoint(): string {
		return this.#endpoint;
	}

	/** Agent epoch in the latest heartbeat; 0: the worker has sent none to this leader. */
	get agentEpoch(): AgentEpoch {
		return this.#epoch;
	}

	/** The lowest valid agent epoch: the lease of every lower epoch has certainly expired. */
	get minAgentEpoch(): AgentEpoch {
		return this.#minEpoch;
	}

	/** Sequence number of the latest heartbeat; -1: there was none. */
	get sequence(): HeartbeatSequence {
		return this.#sequence;
	}

	/** True if the worker has sent a heartbeat to this leader. */
	get running(): boolean {
		return this.#running;
	}

	/** True if the worker has reported this leader's fencing token: it rejects responses of earlier leaders now. */
	get fenced(): boolean {
		return this.#fenced;
	}

	/** True if the worker's lease has certainly expired and no heartbeat has arrived since. */
	get leaseExpired(): boolean {
		return this.#leaseExpired;
	}

	/** Monotonic time of the latest heartbeat. */
	get lastHeartbeatAt(): number {
		return this.#lastHeartbeatAt;
	}

	/** Monotonic time of the latest response that may have renewed the worker's lease. */
	get lastResponseAt(): number {
		return this.#lastResponseAt;
	}

	/** Monotonic time at which the worker was last redirected to another controller. */
	get lastRedirectAt(): number {
		return this.#lastRedirectAt;
	}

	/** Number of responses in a row that had no effect, according to the heartbeats after them. */
	get ineffectiveResponses(): number {
		return this.#ineffectiveResponses;
	}

	/** Monotonic time since which heartbeats arrive but responses do not reach the worker; null: responses reach it. */
	get unreachableSince(): number | null {
		return this.#unreachableSince;
	}

	/** Applies a heartbeat that is newer than the latest one. */
	heartbeatReceived(heartbeat: WorkerHeartbeat, now: number): void {
		this.#epoch = heartbeat.agentEpoch;
		this.#sequence = heartbeat.sequence;
		this.#endpoint = heartbeat.endpoint;
		this.#lastHeartbeatAt = now;
		this.#running = true;
		this.#leaseExpired = false;
	}

	/** Records that the worker has reported the leader's fencing token. */
	fencingConfirmed(): void {
		this.#fenced = true;
	}

	/** Sets the address from the cloud's list or from a stored record, unless one is known; a heartbeat replaces it. */
	setInitialEndpoint(endpoint: string): void {
		if (this.#endpoint === "") this.#endpoint = endpoint;
	}

	/** Records that a response was sent, which may renew the worker's lease. */
	responseSent(now: number): void {
		this.#lastResponseAt = now;
	}

	/**
	 * Records a response to a heartbeat that is older than the latest one. It may renew the lease, if the latest one is
	 * the worker's response to a direct command, which crosses heartbeats. The older one was sent before the latest was
	 * received, so the lease counts from then and not from this response: the heartbeat may be a late copy. Test: "the
	 * response to a heartbeat that crossed the response to a direct command" in
	 * tests/coordination/workers/heartbeat-service.test.ts.
	 */
	outdatedResponseSent(): void {
		this.#lastResponseAt = Math.max(this.#lastResponseAt, this.#lastHeartbeatAt);
	}

	/** Records that the worker was redirected to another controller. */
	redirectSent(now: number): void {
		this.#lastRedirectAt = now;
	}

	/** Marks the worker's lease as certainly expired. Heartbeats are accepted again only with a higher epoch. */
	expireLease(): void {
		this.#leaseExpired = true;
		this.#fenced = false;
		if (this.#epoch > 0) this.#minEpoch = nextUint64(this.#epoch);
	}

	/**
	 * Updates by a heartbeat whether responses reach the worker. If heartbeats arrive but responses are lost, the time
	 * of the last response is no evidence. Attempts that are never listed after their start command, and a lease that
	 * expires although it was renewed, show the loss.
	 */
	updateReachability(effects: ResponseEffects, leaseMs: number, now: number): void {
		const ineffective = effects.leaseExpired || effects.startMissing;
		if (effects.startListed) this.#ineffectiveResponses = 0;
		else if (ineffective) this.#ineffectiveResponses += 1;
		if (ineffective) {
			this.#lastIneffectiveAt = now;
			if (this.#ineffectiveResponses >= unreachableResponseThreshold) this.#unreachableSince ??= now;
			return;
		}
		if (this.#unreachableSince === null) return;
		const leaseHeld = now - this.#lastIneffectiveAt > reachableLeaseFactor * leaseMs;
		if (effects.startListed || leaseHeld) this.assumeReachable();
	}

	/** Discards the evidence that responses do not reach the worker. */
	assumeReachable(): void {
		this.#unreachableSince = null;
		this.#ineffectiveResponses = 0;
	}
}
