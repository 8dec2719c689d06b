/** The worker on a machine as its leader sees it: its lease, its agent epoch and whether responses reach it. */

import type { AgentEpoch } from "../protocol/model/identifiers.js";
import type { WorkerHeartbeat } from "../protocol/model/worker.js";

/** Responses in a row without effect after which the worker counts as unreachable: one may get lost. */
const unreachableAfterResponses = 2;

/**
 * A worker that has kept its lease for this many times its duration must have received responses: without them
 * the lease would have expired.
 */
const leasesThatShowReachability = 1.5;

/** What a heartbeat shows of the effect that earlier responses had. */
export interface ResponseEffects {
	/** The worker's lease expired although it was answered lately. */
	leaseExpired: boolean;
	/** A start command was sent, and the heartbeat after it does not list the attempt. */
	startMissing: boolean;
	/** A start command that was sent shows in the heartbeat. */
	startListed: boolean;
}

/**
 * Owns what one leader knows of a worker. Only heartbeats, responses and the expiry of the worker's lease change
 * it, by the methods here.
 */
export class WorkerAgent {
	#endpoint = "";
	#epoch: AgentEpoch = 0;
	#leastEpoch: AgentEpoch = 0;
	#sequence = -1;
	#running = false;
	#fenced = false;
	#leaseExpired = false;
	#heartbeatAt = Number.NEGATIVE_INFINITY;
	#respondedAt: number;
	#redirectedAt = Number.NEGATIVE_INFINITY;
	#ineffectiveResponses = 0;
	#lastIneffectiveAt = Number.NEGATIVE_INFINITY;
	#unreachableSince: number | null = null;

	/** @param now Steady time since when a lease of the worker may have been renewed. */
	constructor(now: number) {
		this.#respondedAt = now;
	}

	/** Address of the worker, `host:port`; empty: not known yet. */
	get endpoint(): string {
		return this.#endpoint;
	}

	/** The worker's epoch as of its latest heartbeat; 0: it has sent none to this leader. */
	get agentEpoch(): AgentEpoch {
		return this.#epoch;
	}

	/** Heartbeats of earlier epochs belong to a lease that has certainly expired. */
	get minAgentEpoch(): AgentEpoch {
		return this.#leastEpoch;
	}

	/** Sequence of the latest heartbeat; -1: there was none. */
	get sequence(): number {
		return this.#sequence;
	}

	/** The worker has sent a heartbeat to this leader. */
	get running(): boolean {
		return this.#running;
	}

	/** The worker has shown this leader's fencing token: responses of earlier leaders have no effect any more. */
	get fenced(): boolean {
		return this.#fenced;
	}

	/** The worker's lease has certainly expired, and nothing was heard of it since. */
	get leaseExpired(): boolean {
		return this.#leaseExpired;
	}

	/** Steady time of the latest heartbeat. */
	get lastHeartbeatAt(): number {
		return this.#heartbeatAt;
	}

	/** Steady time of the latest response that may have renewed the worker's lease. */
	get lastResponseAt(): number {
		return this.#respondedAt;
	}

	/** Steady time at which the worker was last redirected to another controller. */
	get lastRedirectAt(): number {
		return this.#redirectedAt;
	}

	/** Responses in a row that heartbeats show to have had no effect. */
	get ineffectiveResponses(): number {
		return this.#ineffectiveResponses;
	}

	/** Steady time since which heartbeats arrive while responses do not; null: responses arrive. */
	get unreachableSince(): number | null {
		return this.#unreachableSince;
	}

	/** Takes over a heartbeat that is newer than the latest. */
	heartbeatReceived(heartbeat: WorkerHeartbeat, now: number): void {
		this.#epoch = heartbeat.agentEpoch;
		this.#sequence = heartbeat.sequence;
		this.#endpoint = heartbeat.endpoint;
		this.#heartbeatAt = now;
		this.#running = true;
		this.#leaseExpired = false;
	}

	/** The worker has shown the leader's fencing token. */
	fencingConfirmed(): void {
		this.#fenced = true;
	}

	/** An address that the cloud's list or a stored record names; heartbeats know better. */
	setInitialEndpoint(endpoint: string): void {
		if (this.#endpoint === "") this.#endpoint = endpoint;
	}

	/** A response was sent that may renew the worker's lease. */
	responseSent(now: number): void {
		this.#respondedAt = now;
	}

	/** The worker was redirected to another controller. */
	redirectSent(now: number): void {
		this.#redirectedAt = now;
	}

	/** The worker's lease has certainly expired; the worker may come back, but only with a later epoch. */
	expireLease(): void {
		this.#leaseExpired = true;
		this.#fenced = false;
		if (this.#epoch > 0) this.#leastEpoch = this.#epoch + 1;
	}

	/**
	 * Judges by a heartbeat whether responses reach the worker. Heartbeats may arrive while responses do not, and
	 * then the time since the last response says nothing. It shows by starts that are never listed, and by a lease
	 * that expires although it was renewed.
	 */
	updateReachability(effects: ResponseEffects, leaseMs: number, now: number): void {
		const ineffective = effects.leaseExpired || effects.startMissing;
		if (effects.startListed) this.#ineffectiveResponses = 0;
		else if (ineffective) this.#ineffectiveResponses += 1;
		if (ineffective) {
			this.#lastIneffectiveAt = now;
			if (this.#ineffectiveResponses >= unreachableAfterResponses) this.#unreachableSince ??= now;
			return;
		}
		if (this.#unreachableSince === null) return;
		const leaseHeld = now - this.#lastIneffectiveAt > leasesThatShowReachability * leaseMs;
		if (effects.startListed || leaseHeld) this.assumeReachable();
	}

	/** Forgets what spoke against the worker's being reachable. */
	assumeReachable(): void {
		this.#unreachableSince = null;
		this.#ineffectiveResponses = 0;
	}
}
