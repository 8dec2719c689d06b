/**
 * Which features every controller has said it supports, and the record of that in the store.
 *
 * Until service jobs are recorded none is accepted: a controller of a version that does not know them would end a
 * job when its replicas exit. Once recorded a feature stays recorded. Tests: submissions.test.ts; trace 51.
 */

import type { StoreCondition } from "../../protocol/http/store-api.js";
import type { NodeId } from "../../protocol/model/identifiers.js";
import type { LeaderHeartbeatReply } from "../../protocol/peer/messages.js";
import { keys } from "../../protocol/records/keys.js";
import { encodeFeatures, type FeatureSet } from "../../protocol/records/singleton-records.js";
import type { Clock } from "../ports/clock.js";
import type { Log } from "../ports/log.js";
import type { KeyValueStore } from "../ports/store.js";

/** Pause after a write that failed. */
const retryMs = 1000;

/** What the other controllers say in one term; a later answer may take an earlier one back, as after a rollback. */
export class FeatureSupport {
	private readonly serviceJobs = new Set<NodeId>();
	private readonly teamQuota = new Set<NodeId>();

	/** The controller has answered the leader's heartbeat. Versions that lack a feature leave its field out. */
	replyReceived(from: NodeId, { supportsServiceJobs, teamQuota }: LeaderHeartbeatReply): void {
		if (supportsServiceJobs === true) this.serviceJobs.add(from);
		else this.serviceJobs.delete(from);
		if (teamQuota !== undefined) this.teamQuota.add(from);
		else this.teamQuota.delete(from);
	}

	/** The controller serves service jobs. */
	supportsServiceJobs(node: NodeId): boolean {
		return this.serviceJobs.has(node);
	}

	/** The controller takes part in team quota. */
	supportsTeamQuota(node: NodeId): boolean {
		return this.teamQuota.has(node);
	}
}

/** What the feature gate needs. */
export interface FeatureGateOptions {
	/** Holds as long as the leader key is that of this term. */
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

	/** Called whenever a controller has said what it supports: adds to what is recorded what it lacks. */
	recordSupport(recorded: FeatureSet, supported: Omit<FeatureSet, "unknown">): void {
		const serviceJobs = recorded.serviceJobs || supported.serviceJobs;
		const teamQuota = recorded.teamQuota || supported.teamQuota;
		const complete = serviceJobs === recorded.serviceJobs && teamQuota === recorded.teamQuota;
		if (complete || this.writeInFlight || this.options.clock.now() < this.nextWriteAt) return;
		void this.write({ serviceJobs, teamQuota, unknown: recorded.unknown });
	}

	private async write(features: FeatureSet): Promise<void> {
		const { leaderCondition, store, clock, log, post } = this.options;
		this.writeInFlight = true;
		const change = { put: keys.features, value: encodeFeatures(features) };
		try {
			// Where the leader key has changed hands nothing is written, and this term is over.
			await store.compareAndSwap([leaderCondition], [change], "normal");
		} catch (error) {
			// Nothing is lost: the other controllers say what they support twice a second.
			log.debug({ err: error }, "supported features not written");
			this.nextWriteAt = clock.now() + retryMs;
		}
		post(() => (this.writeInFlight = false));
	}
}
