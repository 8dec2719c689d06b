/**
 * Whether workers reach this leader.
 *
 * A leader may keep the store and the other controllers and lose the workers. Then it is in the way: the workers
 * turn to the other controllers, which can only send them back. If another controller hears of more workers than
 * this leader does, one of the others had better lead. A wrong verdict costs a needless change of leader and breaks
 * no rule, since resigning is like any other end of a term. Trace 31.
 */

import type { NodeId } from "../../protocol/model/identifiers.js";
import type { PlatformSettings } from "../../protocol/settings/platform.js";
import type { ClusterState } from "../state/cluster-state.js";

/** After a failover workers need this long to come here from the controllers that they had turned to. */
const settlingMs = 8000;

/** Ticks further apart than this show that the leader had no authority or could not act in between. */
const maxTickGapMs = 1500;

/** A worker is heard if its latest heartbeat is no older than so many intervals, and a little more. */
const heardWithinIntervals = 2.5;
const heardSlackMs = 500;

/** So many verdicts in a row against this leader are needed. */
const minConsecutiveVerdicts = 2;

/** With fewer running workers than this nothing is judged. */
const minRunningWorkers = 2;

/** Replies of other controllers count for this long. */
const replyValidMs = 2000;

/** At least one in so many workers must have turned to the same other controller. */
const oneMisdirectedIn = 10;

/** The latest answer of another controller to the leader's heartbeat. */
export interface PeerReply {
	/** Steady time at which it arrived. */
	receivedAt: number;
	/** Workers whose heartbeats came to that controller although it does not lead. */
	misdirectedWorkers: number;
}

/** How many workers run, and how many of them this leader hears and reaches. */
export interface WorkerContact {
	running: number;
	heard: number;
}

/** What is needed to judge. */
export interface WorkerReachabilityOptions {
	clusterState: ClusterState;
	platform: PlatformSettings;
	/** Steady time at which the term began. */
	beganAt: number;
	/** The latest answers of the other controllers. */
	replies: ReadonlyMap<NodeId, PeerReply>;
}

/** Owns the verdicts of one term on whether workers reach the leader. */
export class WorkerReachability {
	private consecutiveVerdicts = 0;
	/** Steady time before which nothing is judged. */
	private judgedFrom: number;
	private lastTickAt: number;

	constructor(private readonly options: WorkerReachabilityOptions) {
		this.judgedFrom = options.beganAt + settlingMs;
		this.lastTickAt = options.beganAt;
	}

	/**
	 * Called in each tick with authority. A leader without authority for a while, or one whose process has paused,
	 * cannot have heard anybody: workers get time to come back. Trace 54; failure-detector.test.ts.
	 */
	tick(now: number): void {
		if (now - this.lastTickAt > maxTickGapMs) {
			this.consecutiveVerdicts = 0;
			this.judgedFrom = Math.max(this.judgedFrom, now + settlingMs);
		}
		this.lastTickAt = now;
	}

	/** Counts the workers. */
	contact(now: number): WorkerContact {
		const { clusterState, platform } = this.options;
		const { report_s } = platform.cluster.workers;
		const heardSince = now - (heardWithinIntervals * 1000 * report_s + heardSlackMs);
		let running = 0;
		let heard = 0;
		for (const { agent } of clusterState.machines.values()) {
			if (!agent.running) continue;
			running += 1;
			if (agent.lastHeartbeatAt > heardSince && agent.unreachableSince === null) heard += 1;
		}
		return { running, heard };
	}

	/** Takes note of one regular count. */
	judge(contact: WorkerContact): void {
		const unreached = contact.running >= minRunningWorkers && !reachesMost(contact);
		this.consecutiveVerdicts = unreached ? this.consecutiveVerdicts + 1 : 0;
	}

	/** The latest count spoke against this leader. */
	get inDoubt(): boolean {
		return this.consecutiveVerdicts > 0;
	}

	/** Another controller had better lead. */
	shouldResign({ running, heard }: WorkerContact, now: number): boolean {
		if (now < this.judgedFrom || this.consecutiveVerdicts < minConsecutiveVerdicts) return false;
		const misdirected = this.mostMisdirected(now);
		return misdirected > heard && misdirected >= running / oneMisdirectedIn;
	}

	private mostMisdirected(now: number): number {
		let most = 0;
		for (const { receivedAt, misdirectedWorkers } of this.options.replies.values())
			if (now - receivedAt < replyValidMs) most = Math.max(most, misdirectedWorkers);
		return most;
	}
}

/** At least half of the workers reach this leader. */
export function reachesMost({ running, heard }: WorkerContact): boolean {
	return heard >= running / 2;
}
