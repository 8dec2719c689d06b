/**
 * A leader's failure detector: which controllers and workers are in reach, and what the controllers support.
 *
 * Twice a second the leader sends a heartbeat to every other controller, and each answers. From these and from all
 * other messages the leader knows which controllers are live; whether workers turn to others instead of to it
 * (`worker-reachability.ts`); who may forward heartbeats (`forwarding-policy.ts`); and which features all support.
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

/** Pause between two heartbeats of the leader. */
const heartbeatIntervalMs = 500;

/** Beside the silence that the operators' settings allow: for a message on its way. */
const silenceSlackMs = 500;

/** What a failure detector needs of the leader. */
export interface FailureDetectorOptions {
	term: Term;
	/** Steady time at which the term began. */
	termStartedAt: number;
	platform: PlatformSettings;
	settings: OperatorSettings;
	clusterState: ClusterState;
	peers: PeerMessenger;
	/** Team quota's message to a controller; undefined: there is none. */
	teamQuotaMessageFor(node: NodeId): unknown;
	/** The store answers this controller. */
	storeReachable(): boolean;
	/** Ends the term. */
	resign(reason: ResignationReason): void;
	log: Log;
}

/** Owns what is known of the other controllers in one term. */
export class FailureDetector {
	/** Steady times of the latest messages, by controller. */
	private readonly lastMessageAt = new Map<NodeId, number>();
	private readonly replies = new Map<NodeId, PeerReply>();
	private readonly features = new FeatureSupport();
	private readonly workers: WorkerReachability;
	private readonly forwarding: ForwardingPolicy;
	private nextHeartbeatAt = 0;

	constructor(private readonly options: FailureDetectorOptions) {
		const { replies } = this;
		this.workers = new WorkerReachability({ ...options, replies });
		this.forwarding = new ForwardingPolicy({ ...options, replies });
	}

	/**
	 * Called in each tick with authority.
	 *
	 * @param runningTasks Counts the running tasks; called only when a heartbeat is due.
	 */
	tick(now: number, runningTasks: () => RunningTaskCount[]): void {
		this.workers.tick(now);
		if (now < this.nextHeartbeatAt) return;
		this.nextHeartbeatAt = now + heartbeatIntervalMs;
		const contact = this.workers.countWorkers(now);
		this.forwarding.update();
		this.sendHeartbeats(contact, runningTasks());
		this.workers.recordCheck(contact);
		this.resignIfUnreached(contact, now);
	}

	/** Another controller has sent a message to this leader. */
	messageReceived(from: NodeId, now: number): void {
		this.lastMessageAt.set(from, now);
	}

	/** The controller has not answered a request in time: it does not count as live before its next message. */
	markUnresponsive(node: NodeId): void {
		this.lastMessageAt.delete(node);
	}

	/** Another controller has answered the leader's heartbeat, or has said unasked that workers turn to it. */
	heartbeatReplyReceived(from: NodeId, reply: LeaderHeartbeatReply, now: number): void {
		this.features.replyReceived(from, reply);
		this.replies.set(from, { receivedAt: now, misdirectedWorkers: reply.misdirectedWorkers });
		if (this.workers.lastCheckFailed) this.resignIfUnreached(this.workers.countWorkers(now), now);
	}

	/** Every other controller has said in this term that it serves service jobs. */
	get allSupportServiceJobs(): boolean {
		return this.platform.others.every(({ node }) => this.features.supportsServiceJobs(node));
	}

	/** Every other controller has said in this term that it takes part in team quota. */
	get allSupportTeamQuota(): boolean {
		return this.platform.others.every(({ node }) => this.features.supportsTeamQuota(node));
	}

	/** This controller, and those that have sent a message lately. */
	liveControllers(now: number): NodeId[] {
		const maxSilenceMs = this.options.settings.placing.silent_s * 1000 + silenceSlackMs;
		const live = [this.platform.node];
		for (const { node } of this.platform.others) {
			const lastMessageAt = this.lastMessageAt.get(node) ?? -Infinity;
			if (now - lastMessageAt <= maxSilenceMs) live.push(node);
		}
		return live;
	}

	/** The controller that the machine's worker is to send its heartbeats to; null: this one. */
	forwarderFor(machineId: MachineId, now: number): NodeId | null {
		return this.forwarding.forwarderFor(machineId, now);
	}

	private get platform(): PlatformSettings {
		return this.options.platform;
	}

	private sendHeartbeats(contact: WorkerCounts, runningTasks: RunningTaskCount[]): void {
		const { term, peers, storeReachable, teamQuotaMessageFor } = this.options;
		const heartbeat: LeaderHeartbeat = {
			kind: "leader-heartbeat",
			term,
			runningTasks,
			storeReachable: storeReachable(),
			workersReachable: atLeastHalfReachable(contact),
			forwardHeartbeats: this.forwarding.enabled,
		};
		for (const { node } of this.platform.others) {
			const teamQuota = teamQuotaMessageFor(node);
			peers.send(node, teamQuota === undefined ? heartbeat : { ...heartbeat, teamQuota });
		}
	}

	private resignIfUnreached(contact: WorkerCounts, now: number): void {
		if (!this.workers.shouldResign(contact, now)) return;
		const { reachable: heard, running } = contact;
		this.options.resign(`workers do not reach this controller: ${heard} of ${running} heard`);
	}
}
