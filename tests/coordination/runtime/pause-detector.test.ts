import assert from "node:assert/strict";
import { test } from "node:test";
import { PauseDetector } from "../../../src/coordination/runtime/pause-detector.js";
import { FakeTime } from "../../support/fake-time.js";

test("a pause is measured by the steady clock, and one of the processor's share is none", async () => {
	const time = new FakeTime();
	const detector = new PauseDetector(time);
	await time.advance(1900);
	assert.equal(detector.observe(), null);
	await time.advance(6000);
	assert.equal(detector.observe(), 6000);
	await time.advance(100);
	assert.equal(detector.observe(), null, "said once");
});
