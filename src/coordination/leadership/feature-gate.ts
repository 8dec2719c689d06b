/**
 * The feature gate: records in the store which features all controllers support.
 *
 * No service job is accepted before support for service jobs is recorded: a controller of a version without that
 * support would end a job when its replicas exit. A recorded feature stays recorded. Tests: submissions.test.ts;
 * trace 51.
 */

import type { StoreCondition } from "../../protocol/http/store-api.js";
import type { NodeId } from "../../protocol/model/identifiers.js";
import type { LeaderHeartbeatReply } from "../../protocol/peer/messages.js";
import { keys } from "../../protocol/records/keys.js";
import { encodeFeatures, type FeatureSet } from "../../protocol/records/singleton-records.js";
import type { Clock } from "../ports/clock.js";
import type { Log } from "../ports/log.js";
import type { KeyValueStore } from "../ports/store.js";

/** Backoff after a write that failed. */
const retryMs = 1000;

/**
 * The features that the other controllers support, by their replies in one term. A later reply may lack a feature of
 * an earlier one, as after a rollback.
 */
export class FeatureSupport {
	private readonly serviceJobs = new Set<NodeId>();
	private readonly teamQuota = new Set<NodeId>();

	/** Records a controller's reply to the leader's heartbeat. Versions that lack a feature omit its field. */
	replyReceived(from: NodeId, { supportsServiceJobs, teamQuota }: LeaderHeartbeatReply): void {
		if (supportsServiceJobs === true) this.serviceJobs.add(from);
		else this.serviceJobs.delete(from);
		if (teamQuota !== undefined) this.teamQuota.add(from);
		else this.teamQuota.delete(from);
	}

	supportsServiceJobs(node: NodeId): boolean {
		return this.serviceJobs.has(node);
	}

	supportsTeamQuota(node: NodeId): boolean {
		return this.teamQuota.has(node);
	}
}

/** Dependencies of a feature gate. */
export interface FeatureGateOptions {
	/** Holds as long as the leader key has the revision of this term. */
	leaderCondition: StoreCondition;
	store: KeyValueStore;
	clock: Clock;
	log: Log;
	/** Runs an action in the process's serial executor. */
	post(action: () => void): void;
}

/** Writes the features of one term, one write at a time. */
export class FeatureGate {
	private writeInFlight = false;
	private nextWriteAt = -Infinity;

	constructor(private readonly options: FeatureGateOptions) {}

	/** Adds the supported features to the recorded ones. It is called after each reply of a controller. */
	recordSupport(recorded: FeatureSet, supported: Omit<FeatureSet, "unknownFields">): void {
		const serviceJobs = recorded.serviceJobs || supported.serviceJobs;
		const teamQuota = recorded.teamQuota || supported.teamQuota;
		const alreadyRecorded = serviceJobs === recorded.serviceJobs && teamQuota === recorded.teamQuota;
		if (alreadyRecorded || this.writeInFlight || this.options.clock.now() < this.nextWriteAt) return;
		void this.write({ serviceJobs, teamQuota, unknownFields: recorded.unknownFields });
	}

	private async write(features: FeatureSet): Promise<void> {
		const { leaderCondition, store, clock, log, post } = this.options;
		this.writeInFlight = true;
		const change = { put: keys.features, value: encodeFeatures(features) };
		try {
			// If another controller holds the leader key, nothing is written, and this term ends.
			await store.compareAndSwap([leaderCondition], [change], "normal");
		} catch (error) {
			// The write is retried, since the other controllers report their supported features twice a second.
			log.debug({ err: error }, "supported features not written");
			this.nextWriteAt = clock.now() + retryMs;
		}
		post(() => (this.writeInFlight = false));
	}
}
