import type { StoreCondition } from "../../protocol/http/store-api.js";
import { keys } from "../../protocol/records/keys.js";
import { encodeFeatures, type FeatureSet } from "../../protocol/records/singleton-records.js";
import type { Clock } from "../ports/clock.js";
import type { KeyValueStore } from "../ports/store.js";

const retryMs = 1000;

/**
 * Writes to the store, once and for good, what every controller has said it serves. Until then no
 * standing job is accepted: a controller that does not know them would run their replicas to an end.
 */
export class FeatureGate {
	private writing = false;

	constructor(
		private readonly leaderCondition: StoreCondition,
		private readonly store: KeyValueStore,
		private readonly time: Clock,
		private readonly post: (command: () => void) => void,
	) {}

	/** Adds to what is recorded, if that lacks something. */
	recordSupport(recorded: FeatureSet, served: Omit<FeatureSet, "unknown">): void {
		const lacking =
			(served.serviceJobs && !recorded.serviceJobs) || (served.teamQuota && !recorded.teamQuota);
		if (this.writing || !lacking) return;
		this.writing = true;
		const value = encodeFeatures({
			serviceJobs: recorded.serviceJobs || served.serviceJobs,
			teamQuota: recorded.teamQuota || served.teamQuota,
			unknown: recorded.unknown,
		});
		const done = () => this.post(() => (this.writing = false));
		this.store
			.compareAndSwap([this.leaderCondition], [{ put: keys.features, value }], "normal")
			.then(done, () => this.time.after(retryMs, done));
	}
}
