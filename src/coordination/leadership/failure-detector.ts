import type { LeaderHeartbeat, LeaderHeartbeatReply } from "../../protocol/peer/messages.js";
import type { OperatorSettings } from "../../protocol/settings/operator.js";
import type { PlatformSettings } from "../../protocol/settings/platform.js";
import type { Log } from "../ports/log.js";
import type { PeerMessenger } from "../ports/peers.js";
import { ownerOf } from "../sharding/rendezvous-hash.js";
import type { ClusterState } from "../state/cluster-state.js";
import type { ResignationReason } from "./resignation-reason.js";

/** So long after a takeover workers still come from elsewhere. */
const afterTakeoverMs = 8000;
/** A machine that does not stay with its relay is left alone for this long. */
const redirectPauseMs = 60_000;
/** A relay answers twice a second. */
const relaySilentMs = 1200;
const pingEveryMs = 500;
/** Ticks further apart than this show that this process could not act in between. */
const pauseMs = 1500;

export interface FailureDetectorOptions {
	term: number;
	/** Steady time at which the term began. */
	beganAt: number;
	platform: PlatformSettings;
	settings: OperatorSettings;
	clusterState: ClusterState;
	peers: PeerMessenger;
	/** Team quota's message to a controller; undefined: none. */
	teamQuotaMessageFor(node: string): unknown;
	/** The state service answers this node. */
	storeReachable(): boolean;
	resign(reason: ResignationReason): void;
	log: Log;
}

/** Who is there for a leader: which other controllers, and whether workers reach it. */
export class FailureDetector {
	private readonly heardFrom = new Map<string, number>();
	/** Machines that turned to other controllers, by controller. */
	private readonly redirected = new Map<string, { at: number; count: number }>();
	/** Looks in a row at which most machines were not heard. */
	private unreachableLooks = 0;
	/** Whether workers reach this node is not judged before this: they need time to come. */
	private judgeFrom: number;
	private lastTickAt: number;
	/** Whether the other controllers receive reports and pass them on. */
	private relaying = false;
	private nextPing = 0;
	/** Controllers that serve standing jobs, by their own word in this term. */
	private readonly serveStanding = new Set<string>();
	/** Controllers that take part in team quota, likewise. */
	private readonly serveQuota = new Set<string>();

	private readonly term: number;
	private readonly platform: PlatformSettings;
	private readonly clusterState: ClusterState;
	private readonly peers: PeerMessenger;
	private readonly log: Log;

	constructor(private readonly options: FailureDetectorOptions) {
		this.term = options.term;
		this.platform = options.platform;
		this.clusterState = options.clusterState;
		this.peers = options.peers;
		this.log = options.log;
		this.judgeFrom = options.beganAt + afterTakeoverMs;
		this.lastTickAt = options.beganAt;
	}

	/** Without authority for a while, or standing still, it cannot have heard anybody. */
	private noticePause(now: number): void {
		if (now - this.lastTickAt > pauseMs) {
			this.unreachableLooks = 0;
			this.judgeFrom = Math.max(this.judgeFrom, now + afterTakeoverMs);
		}
		this.lastTickAt = now;
	}

	/** Called often, with authority; tells the others twice a second how things stand. */
	tick(now: number, counts: () => [string, number][]): void {
		this.noticePause(now);
		if (now < this.nextPing) return;
		this.nextPing = now + pingEveryMs;
		const ears = this.reachable(now);
		const hearing = ears.heard >= ears.up / 2;
		this.considerRelaying();
		const message: LeaderHeartbeat = {
			kind: "leader-heartbeat",
			term: this.term,
			runningTasks: counts(),
			storeReachable: this.options.storeReachable(),
			workersReachable: hearing,
			forwardHeartbeats: this.relaying,
		};
		for (const { node } of this.platform.others) {
			const quota = this.options.teamQuotaMessageFor(node);
			this.peers.send(node, quota === undefined ? message : { ...message, teamQuota: quota });
		}
		this.unreachableLooks = ears.up >= 2 && !hearing ? this.unreachableLooks + 1 : 0;
		this.stepAside(now, ears);
	}

	/** Another controller has spoken to this leader. */
	messageReceived(from: string, now: number): void {
		this.heardFrom.set(from, now);
	}

	markUnresponsive(node: string): void {
		this.heardFrom.delete(node);
	}

	/** It has answered, and says how many machines turned to it. */
	heartbeatReplyReceived(
		from: string,
		{ misdirectedWorkers: strays, supportsServiceJobs: standing, teamQuota: quota }: LeaderHeartbeatReply,
		now: number,
	): void {
		if (standing === true) this.serveStanding.add(from);
		else this.serveStanding.delete(from);
		if (quota !== undefined) this.serveQuota.add(from);
		else this.serveQuota.delete(from);
		this.redirected.set(from, { at: now, count: strays });
		if (this.unreachableLooks > 0) this.stepAside(now, this.reachable(now));
	}

	get allSupportServiceJobs(): boolean {
		return this.platform.others.every(({ node }) => this.serveStanding.has(node));
	}

	get allSupportTeamQuota(): boolean {
		return this.platform.others.every(({ node }) => this.serveQuota.has(node));
	}

	liveControllers(now: number): string[] {
		const live = [this.platform.node];
		for (const other of this.platform.others) {
			const heard = this.heardFrom.get(other.node) ?? -Infinity;
			if (now - heard <= this.options.settings.placing.silent_s * 1000 + 500) live.push(other.node);
		}
		return live;
	}

	/**
	 * The controller that receives the machine's reports, or null for this one. Where so many
	 * come that receiving them would take most of this process's share, the others do it. One
	 * that comes back after it was sent away does not reach its relay and stays for a while.
	 */
	forwarderFor(id: string, now: number): string | null {
		if (!this.relaying || !this.clusterState.reconciled) return null;
		const machine = this.clusterState.machines.get(id);
		if (!machine || now - machine.agent.redirectedAt < redirectPauseMs) return null;
		const relays: string[] = [];
		for (const [node, { at }] of this.redirected) if (now - at < relaySilentMs) relays.push(node);
		const relay = ownerOf(id, relays);
		if (relay !== null) machine.agent.redirected(now);
		return relay;
	}

	/** Reports come at least so often; with half as many, relaying ends again. */
	private considerRelaying(): void {
		const { workers, resources } = this.platform.cluster;
		const perCore = this.options.settings.reports.relay_per_core;
		const rate = this.clusterState.machines.size / workers.report_s / (resources.cores ?? 1);
		const relaying = perCore > 0 && rate >= (this.relaying ? perCore / 2 : perCore);
		if (relaying === this.relaying) return;
		this.relaying = relaying;
		const by = relaying ? "heartbeat forwarding enabled" : "heartbeat forwarding disabled";
		this.log.info({ perCore: Math.round(rate) }, by);
	}

	/** Machines that are up, and those of them that this node hears. */
	private reachable(now: number): { up: number; heard: number } {
		const since = now - (2500 * this.platform.cluster.workers.report_s + 500);
		let up = 0;
		let heard = 0;
		for (const machine of this.clusterState.machines.values()) {
			if (!machine.agent.running) continue;
			up += 1;
			if (machine.agent.heartbeatAt > since && machine.agent.unreachableSince === null) heard += 1;
		}
		return { up, heard };
	}

	/**
	 * A leader may keep the store and the other controllers and lose the workers. Then it
	 * stands in the way: the workers turn to the others, who can only send them back. If
	 * the others hear more machines than this node does, one of them had better lead.
	 */
	private stepAside(now: number, { up, heard }: { up: number; heard: number }): void {
		if (now < this.judgeFrom) return;
		let strays = 0;
		for (const { at, count } of this.redirected.values())
			if (now - at < 2000) strays = Math.max(strays, count);
		if (this.unreachableLooks >= 2 && strays > heard && strays >= up / 10) {
			this.options.resign(`workers do not reach this controller: ${heard} of ${up} heard`);
		}
	}
}
