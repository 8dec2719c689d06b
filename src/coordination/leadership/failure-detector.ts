/**
 * A leader's failure detector: the controllers and workers that are reachable, and the features that all controllers
 * support.
 *
 * Twice a second the leader sends a heartbeat to every other controller, and each replies. From the replies and from
 * all other messages the leader derives which controllers are live; whether workers send their heartbeats to other
 * controllers instead of to the leader (`worker-reachability.ts`); which controllers may forward heartbeats
 * (`forwarding-policy.ts`); and which features all controllers support.
 */

import type { MachineId, NodeId, Term } from "../../protocol/model/identifiers.js";
import type {
	LeaderHeartbeat,
	LeaderHeartbeatReply,
	RunningTaskCount,
} from "../../protocol/peer/messages.js";
import type { OperatorSettings } from "../../protocol/settings/operator.js";
import type { PlatformSettings } from "../../protocol/settings/platform.js";
import type { Log } from "../ports/log.js";
import type { PeerMessenger } from "../ports/peers.js";
import type { ClusterState } from "../state/cluster-state.js";
import type { ResignationReason } from "../state/resignation-reason.js";
import { FeatureSupport } from "./feature-gate.js";
import { ForwardingPolicy } from "./forwarding-policy.js";
import {
	atLeastHalfReachable,
	type PeerReply,
	type WorkerCounts,
	WorkerReachability,
} from "./worker-reachability.js";

/** Interval between two heartbeats of the leader. */
const heartbeatIntervalMs = 500;

/** Allowance for the network delay of a message, in addition to the `silent_s` of the operators' settings. */
const messageDelayAllowanceMs = 500;

/** Dependencies of a failure detector. */
export interface FailureDetectorOptions {
	term: Term;
	/** Monotonic time at which the term began. */
	termStartedAt: number;
	platform: PlatformSettings;
	settings: OperatorSettings;
	clusterState: ClusterState;
	peers: PeerMessenger;
	/** Returns team quota's message to a controller; undefined: there is none. */
	teamQuotaMessageFor(node: NodeId): unknown;
	/** True if the store responds to this controller. */
	storeReachable(): boolean;
	/** Ends the term. */
	resign(reason: ResignationReason): void;
	log: Log;
}

/** Owns the messages and replies that the leader has received from the other controllers in one term. */
export class FailureDetector {
	/** Monotonic times of the latest messages, by controller. */
	private readonly lastMessageAt = new Map<NodeId, number>();
	private readonly replies = new Map<NodeId, PeerReply>();
	private readonly featureSupport = new FeatureSupport();
	private readonly workerReachability: WorkerReachability;
	private readonly forwardingPolicy: ForwardingPolicy;
	private nextHeartbeatAt = 0;

	constructor(private readonly options: FailureDetectorOptions) {
		const { replies } = this;
		this.workerReachability = new WorkerReachability({ ...options, replies });
		this.forwardingPolicy = new ForwardingPolicy({ ...options, replies });
	}

	/**
	 * Called in each tick with authority.
	 *
	 * @param runningTasks Counts the running tasks; called only when a heartbeat is due.
	 */
	tick(now: number, runningTasks: () => RunningTaskCount[]): void {
		this.workerReachability.tick(now);
		if (now < this.nextHeartbeatAt) return;
		this.nextHeartbeatAt = now + heartbeatIntervalMs;
		const counts = this.workerReachability.countWorkers(now);
		this.forwardingPolicy.update();
		this.sendHeartbeats(counts, runningTasks());
		this.workerReachability.recordCheck(counts);
		this.resignIfWorkersUnreachable(counts, now);
	}

	/** Records that another controller has sent a message to this leader. */
	messageReceived(from: NodeId, now: number): void {
		this.lastMessageAt.set(from, now);
	}

	/** Excludes a controller that did not respond in time from the live controllers, until its next message. */
	markUnresponsive(node: NodeId): void {
		this.lastMessageAt.delete(node);
	}

	/**
	 * Handles a controller's reply to the leader's heartbeat. A controller also sends it unrequested when workers send
	 * their heartbeats to it.
	 */
	heartbeatReplyReceived(from: NodeId, reply: LeaderHeartbeatReply, now: number): void {
		this.featureSupport.replyReceived(from, reply);
		const { misdirectedWorkers, incarnation } = reply;
		const namesProcess = incarnation !== undefined;
		this.replies.set(from, { receivedAt: now, misdirectedWorkers, namesProcess });
		if (this.workerReachability.lastCheckFailed)
			this.resignIfWorkersUnreachable(this.workerReachability.countWorkers(now), now);
	}

	/** True if every other controller has replied in this term that it supports service jobs. */
	get allSupportServiceJobs(): boolean {
		return this.platform.others.every(({ node }) => this.featureSupport.supportsServiceJobs(node));
	}

	/** True if every other controller has replied in this term that it supports team quota. */
	get allSupportTeamQuota(): boolean {
		return this.platform.others.every(({ node }) => this.featureSupport.supportsTeamQuota(node));
	}

	/** Returns this controller, and the others whose latest message is recent enough. */
	liveControllers(now: number): NodeId[] {
		const maxMessageAgeMs = this.options.settings.placing.silent_s * 1000 + messageDelayAllowanceMs;
		const live = [this.platform.node];
		for (const { node } of this.platform.others) {
			const lastMessageAt = this.lastMessageAt.get(node) ?? -Infinity;
			if (now - lastMessageAt <= maxMessageAgeMs) live.push(node);
		}
		return live;
	}

	/** Returns the controller to which the machine's worker is redirected for its heartbeats; null: this one. */
	forwarderFor(machineId: MachineId, now: number): NodeId | null {
		return this.forwardingPolicy.forwarderFor(machineId, now);
	}

	private get platform(): PlatformSettings {
		return this.options.platform;
	}

	private sendHeartbeats(counts: WorkerCounts, runningTasks: RunningTaskCount[]): void {
		const { term, peers, storeReachable, teamQuotaMessageFor } = this.options;
		const heartbeat: Omit<LeaderHeartbeat, "forwardHeartbeats"> = {
			kind: "leader-heartbeat",
			term,
			runningTasks,
			storeReachable: storeReachable(),
			workersReachable: atLeastHalfReachable(counts),
		};
		for (const { node } of this.platform.others) {
			const forwardHeartbeats = this.forwardingPolicy.requestedFrom(node);
			const teamQuota = teamQuotaMessageFor(node);
			peers.send(node, { ...heartbeat, forwardHeartbeats, ...(teamQuota !== undefined && { teamQuota }) });
		}
	}

	private resignIfWorkersUnreachable(counts: WorkerCounts, now: number): void {
		if (!this.workerReachability.shouldResign(counts, now)) return;
		const { reachable, running } = counts;
		this.options.resign(`workers do not reach this controller: ${reachable} of ${running} reachable`);
	}
}
