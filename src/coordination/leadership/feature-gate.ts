import type { StoreCondition } from "../../protocol/http/store-api.js";
import { type FeaturesRecord, keys } from "../../protocol/records/records.js";
import type { TimePort } from "../ports/clock.js";
import type { StorePort } from "../ports/store.js";

const retryMs = 1000;

/**
 * Writes to the store, once and for good, what every controller has said it serves. Until then no
 * standing job is accepted: a controller that does not know them would run their replicas to an end.
 */
export class FeatureRecord {
	private writing = false;

	constructor(
		private readonly leaderCondition: StoreCondition,
		private readonly store: StorePort,
		private readonly time: TimePort,
		private readonly post: (command: () => void) => void,
	) {}

	/** Adds to what is recorded, if that lacks something. */
	write(recorded: FeaturesRecord, served: FeaturesRecord): void {
		const lacking = (Object.keys(served) as (keyof FeaturesRecord)[]).some(
			(feature) => served[feature] === true && recorded[feature] !== true,
		);
		if (this.writing || !lacking) return;
		this.writing = true;
		const value: FeaturesRecord = { ...recorded, ...served };
		const done = () => this.post(() => (this.writing = false));
		this.store
			.transact([this.leaderCondition], [{ put: keys.features, value }], "normal")
			.then(done, () => this.time.after(retryMs, done));
	}
}
