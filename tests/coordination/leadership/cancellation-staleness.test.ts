import assert from "node:assert/strict";
import { test } from "node:test";
import { maxCancellationStalenessMs } from "../../../src/coordination/leadership/cancellation-staleness.js";
import { parsePlatformSettings } from "../../../src/protocol/settings/platform.js";
import { platformSettingsToml as settings } from "../../support/platform-settings.js";

test("the staleness bound, a worker's lease and a margin fit into cancel_s; the bound is 0 if lease and margin alone do not", () => {
	const platform = parsePlatformSettings("s.toml", settings);
	const { cancel_s, lease_s } = platform.cluster.workers;
	assert.ok(maxCancellationStalenessMs(platform.cluster.workers) / 1000 + lease_s * 1.001 + 2 < cancel_s);
	const tight = parsePlatformSettings("s.toml", settings.replace("cancel_s = 37.0", "cancel_s = 11.0"));
	assert.equal(maxCancellationStalenessMs(tight.cluster.workers), 0);
});
