/**
 * Checks whether workers reach this leader.
 *
 * A leader may be connected to the store and the other controllers but not to the workers. The workers then send their
 * heartbeats to the other controllers, which can only redirect them to the leader. If another controller receives
 * heartbeats of more workers than this leader does, the leader resigns in favour of another. A wrong resignation costs
 * an unnecessary failover and violates no safety rule, since it is like any other end of a term. Trace 31.
 */

import type { NodeId } from "../../protocol/model/identifiers.js";
import type { PlatformSettings } from "../../protocol/settings/platform.js";
import type { ClusterState } from "../state/cluster-state.js";

/** After a failover, workers may take this long to be redirected to this leader from other controllers. */
const reconnectGraceMs = 8000;

/** A longer gap between ticks shows that the leader had no authority or its process paused in between. */
const maxTickGapMs = 1500;

/** A worker is reachable if its latest heartbeat is at most this many heartbeat intervals old, plus an allowance. */
const maxHeartbeatAgeIntervals = 2.5;
const heartbeatAgeSlackMs = 500;

/** Number of consecutive failed checks after which the leader may resign. */
const minConsecutiveFailedChecks = 2;

/** With fewer running workers than this, no check fails. */
const minRunningWorkersToCheck = 2;

/** Older replies of other controllers are ignored. */
const maxReplyAgeMs = 2000;

/** The leader resigns only if at least one in this many running workers sent heartbeats to one other controller. */
const misdirectedThresholdDivisor = 10;

/** The latest reply of another controller to the leader's heartbeat. */
export interface PeerReply {
	/** Monotonic time at which the reply arrived. */
	receivedAt: number;
	/** Number of workers that sent heartbeats to that controller although it does not lead. */
	misdirectedWorkers: number;
	/** True if that controller names its process in messages, so that a response reaches no other process of its node. */
	namesProcess: boolean;
}

/** The numbers of running workers and, among them, of those with a recent heartbeat that responses reach. */
export interface WorkerCounts {
	running: number;
	reachable: number;
}

/** Dependencies of the checks. */
export interface WorkerReachabilityOptions {
	clusterState: ClusterState;
	platform: PlatformSettings;
	/** Monotonic time at which the term began. */
	termStartedAt: number;
	/** The latest replies of the other controllers. */
	replies: ReadonlyMap<NodeId, PeerReply>;
}

/** Owns the results of the checks in one term. */
export class WorkerReachability {
	private consecutiveFailedChecks = 0;
	/** Monotonic time before which the leader does not resign, while workers reconnect. */
	private graceEndsAt: number;
	private lastTickAt: number;

	constructor(private readonly options: WorkerReachabilityOptions) {
		this.graceEndsAt = options.termStartedAt + reconnectGraceMs;
		this.lastTickAt = options.termStartedAt;
	}

	/**
	 * Called in each tick with authority. After a gap without authority, or after a process pause, workers have time to
	 * reconnect, since the leader cannot have received their heartbeats. Trace 54; failure-detector.test.ts.
	 */
	tick(now: number): void {
		if (now - this.lastTickAt > maxTickGapMs) {
			this.consecutiveFailedChecks = 0;
			this.graceEndsAt = Math.max(this.graceEndsAt, now + reconnectGraceMs);
		}
		this.lastTickAt = now;
	}

	/** Counts the running and the reachable workers. */
	countWorkers(now: number): WorkerCounts {
		const { clusterState, platform } = this.options;
		const { report_s } = platform.cluster.workers;
		const reachableSince = now - (maxHeartbeatAgeIntervals * 1000 * report_s + heartbeatAgeSlackMs);
		let running = 0;
		let reachable = 0;
		for (const { agent } of clusterState.machines.values()) {
			if (!agent.running) continue;
			running += 1;
			if (agent.lastHeartbeatAt > reachableSince && agent.unreachableSince === null) reachable += 1;
		}
		return { running, reachable };
	}

	/** Records the result of a regular check. */
	recordCheck(counts: WorkerCounts): void {
		const unreachable = counts.running >= minRunningWorkersToCheck && !atLeastHalfReachable(counts);
		this.consecutiveFailedChecks = unreachable ? this.consecutiveFailedChecks + 1 : 0;
	}

	/** True if fewer than half of the running workers reached this leader at the latest check. */
	get lastCheckFailed(): boolean {
		return this.consecutiveFailedChecks > 0;
	}

	/** True if the leader should resign, because another controller receives more heartbeats of workers. */
	shouldResign({ running, reachable }: WorkerCounts, now: number): boolean {
		if (now < this.graceEndsAt || this.consecutiveFailedChecks < minConsecutiveFailedChecks) return false;
		const misdirected = this.maxMisdirected(now);
		return misdirected > reachable && misdirected >= running / misdirectedThresholdDivisor;
	}

	private maxMisdirected(now: number): number {
		let max = 0;
		for (const { receivedAt, misdirectedWorkers } of this.options.replies.values())
			if (now - receivedAt < maxReplyAgeMs) max = Math.max(max, misdirectedWorkers);
		return max;
	}
}

/** True if at least half of the running machines reach the controller. */
export function atLeastHalfReachable({ running, reachable }: WorkerCounts): boolean {
	return reachable >= running / 2;
}
