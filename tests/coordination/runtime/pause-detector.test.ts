import assert from "node:assert/strict";
import { test } from "node:test";
import { PauseDetector } from "../../../src/coordination/runtime/pause-detector.js";
import { FakeTime } from "../../support/fake-time.js";

// A process that is only short of processor time causes gaps of less than 2 s, which are not pauses.
test("a gap of 6 s on the monotonic clock is reported as a pause once, and a gap of 1.9 s is not reported", async () => {
	const time = new FakeTime();
	const detector = new PauseDetector(time);
	await time.advance(1900);
	assert.equal(detector.observe(), null);
	await time.advance(6000);
	assert.equal(detector.observe(), 6000);
	await time.advance(100);
	assert.equal(detector.observe(), null, "a pause is reported once");
});
