/**
 * Whether controllers receive workers' heartbeats in the leader's stead, and which controller a worker is sent to.
 *
 * Where so many heartbeats come that receiving them would take most of the leader's share of processor time, all
 * controllers receive them and forward them to the leader, which alone decides. Why a forwarding controller is no
 * more than a slower network: docs/safety.md, "Who receives heartbeats". Traces 33 to 38; heartbeat-forwarding
 * tests.
 */

import type { MachineId, NodeId } from "../../protocol/model/identifiers.js";
import type { OperatorSettings } from "../../protocol/settings/operator.js";
import type { PlatformSettings } from "../../protocol/settings/platform.js";
import type { Log } from "../ports/log.js";
import { ownerOf } from "../sharding/rendezvous-hash.js";
import type { ClusterState } from "../state/cluster-state.js";
import type { PeerReply } from "./worker-reachability.js";

/** A worker that comes back after it was redirected does not reach its controller, and is left alone for this long. */
const redirectPauseMs = 60_000;

/** A controller that has not answered for this long forwards nothing; answers come twice a second. */
const forwarderSilentMs = 1200;

/** What the policy needs. */
export interface ForwardingPolicyOptions {
	clusterState: ClusterState;
	platform: PlatformSettings;
	settings: OperatorSettings;
	/** The latest answers of the other controllers to the leader's heartbeat. */
	replies: ReadonlyMap<NodeId, PeerReply>;
	log: Log;
}

/** Owns whether heartbeats are forwarded in this term. */
export class ForwardingPolicy {
	#enabled = false;

	constructor(private readonly options: ForwardingPolicyOptions) {}

	/** All controllers receive heartbeats and forward them to the leader. */
	get enabled(): boolean {
		return this.#enabled;
	}

	/** Decides anew by the present number of machines. Forwarding ends again with half as many heartbeats. */
	update(): void {
		const { clusterState, platform, settings, log } = this.options;
		const { workers, resources } = platform.cluster;
		const limit = settings.reports.relay_per_core;
		// Workers send heartbeats at least this often.
		const perCore = clusterState.machines.size / workers.report_s / (resources.cores ?? 1);
		const enabled = limit > 0 && perCore >= (this.#enabled ? limit / 2 : limit);
		if (enabled === this.#enabled) return;
		this.#enabled = enabled;
		const heartbeatsPerCore = Math.round(perCore);
		if (enabled) log.info({ heartbeatsPerCore }, "heartbeat forwarding enabled");
		else log.info({ heartbeatsPerCore }, "heartbeat forwarding disabled");
	}

	/**
	 * The controller that the machine's worker is to send its heartbeats to; null: this one. Each machine has its
	 * own, as long as the same controllers answer.
	 */
	forwarderFor(machineId: MachineId, now: number): NodeId | null {
		const { clusterState, replies } = this.options;
		if (!this.#enabled || !clusterState.reconciled) return null;
		const machine = clusterState.machines.get(machineId);
		if (!machine || now - machine.agent.lastRedirectAt < redirectPauseMs) return null;
		const forwarders: NodeId[] = [];
		for (const [node, { receivedAt }] of replies)
			if (now - receivedAt < forwarderSilentMs) forwarders.push(node);
		const forwarder = ownerOf(machineId, forwarders);
		if (forwarder !== null) machine.agent.redirectSent(now);
		return forwarder;
	}
}
