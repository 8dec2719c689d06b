/**
 * The forwarding policy: decides whether controllers receive workers' heartbeats for the leader, and to which
 * controller a worker is redirected.
 *
 * Where receiving all heartbeats would take most of the leader's share of processor time, all controllers receive
 * heartbeats and forward them to the leader, which alone decides. For safety a forwarding controller is no different
 * from a slower network: docs/safety.md, "Who receives heartbeats". Traces 33 to 38; heartbeat-forwarding tests.
 */

import type { MachineId, NodeId } from "../../protocol/model/identifiers.js";
import type { OperatorSettings } from "../../protocol/settings/operator.js";
import type { PlatformSettings } from "../../protocol/settings/platform.js";
import type { Log } from "../ports/log.js";
import { ownerOf } from "../sharding/rendezvous-hash.js";
import type { ClusterState } from "../state/cluster-state.js";
import type { PeerReply } from "./worker-reachability.js";

/** A worker that returns after a redirect cannot reach that controller, and is not redirected again for this long. */
const redirectPauseMs = 60_000;

/** No worker is redirected to a controller that has not replied for this long; replies come twice a second. */
const forwarderTimeoutMs = 1200;

/** Dependencies of a forwarding policy. */
export interface ForwardingPolicyOptions {
	clusterState: ClusterState;
	platform: PlatformSettings;
	settings: OperatorSettings;
	/** The latest replies of the other controllers to the leader's heartbeat. */
	replies: ReadonlyMap<NodeId, PeerReply>;
	log: Log;
}

/** Owns whether heartbeats are forwarded in this term, and by which controllers. */
export class ForwardingPolicy {
	#enabled = false;

	constructor(private readonly options: ForwardingPolicyOptions) {}

	/**
	 * True if the controller is to forward heartbeats. One that names no process (versions up to 0.8.0) redirects workers
	 * to the leader, which refuses what it forwards; a controller that has not replied in this term counts as current.
	 */
	requestedFrom(node: NodeId): boolean {
		return this.#enabled && this.options.replies.get(node)?.namesProcess !== false;
	}

	/**
	 * Enables or disables forwarding by the current number of machines. It is disabled only at half of the load at
	 * which it is enabled.
	 */
	update(): void {
		const { clusterState, platform, settings, log } = this.options;
		const { workers, resources } = platform.cluster;
		const maxHeartbeatsPerSecondPerCore = settings.reports.relay_per_core;
		// Workers send heartbeats at least this often.
		const heartbeatsPerSecondPerCore = clusterState.machines.size / workers.report_s / (resources.cores ?? 1);
		const enabled =
			maxHeartbeatsPerSecondPerCore > 0 &&
			heartbeatsPerSecondPerCore >=
				(this.#enabled ? maxHeartbeatsPerSecondPerCore / 2 : maxHeartbeatsPerSecondPerCore);
		if (enabled === this.#enabled) return;
		this.#enabled = enabled;
		const rounded = Math.round(heartbeatsPerSecondPerCore);
		if (enabled) log.info({ heartbeatsPerSecondPerCore: rounded }, "heartbeat forwarding enabled");
		else log.info({ heartbeatsPerSecondPerCore: rounded }, "heartbeat forwarding disabled");
	}

	/**
	 * Returns the controller to which the machine's worker is redirected for its heartbeats; null: this one. The
	 * controller of a machine stays the same as long as the same controllers reply.
	 */
	forwarderFor(machineId: MachineId, now: number): NodeId | null {
		const { clusterState, replies } = this.options;
		if (!this.#enabled || !clusterState.reconciled) return null;
		const machine = clusterState.machines.get(machineId);
		if (!machine || now - machine.agent.lastRedirectAt < redirectPauseMs) return null;
		const forwarders: NodeId[] = [];
		for (const [node, { receivedAt, namesProcess }] of replies)
			if (namesProcess && now - receivedAt < forwarderTimeoutMs) forwarders.push(node);
		const forwarder = ownerOf(machineId, forwarders);
		if (forwarder !== null) machine.agent.redirectSent(now);
		return forwarder;
	}
}
