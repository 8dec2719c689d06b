import assert from "node:assert/strict";
import { test } from "node:test";
import { parseHeartbeat } from "../../../src/protocol/http/worker-api.js";

test("reports are read into the service's own words", () => {
	const report = parseHeartbeat(
		JSON.stringify({
			host: "n-1",
			endpoint: "10.1.0.1:9000",
			shape: "g8",
			hall: "a",
			loaners: true,
			shift: 1,
			tick: 8,
			baton: 41,
			pieces: [
				{ piece: "j-1/3", try: 2, status: "pulling" },
				{ piece: "j-1/4", try: 3, status: "exited", cause: "full" },
			],
		}),
	);
	assert.deepEqual(
		report.tasks.map((t) => [t.taskIndex, t.state, t.exitCause]),
		[
			[3, "fetching", null],
			[4, "exited", "no_room"],
		],
	);
	assert.equal(report.reclaimInS, null);
	assert.throws(() => parseHeartbeat('{"host":"n-1"}'), /"pieces" must be a list/);
});
