import assert from "node:assert/strict";
import { test } from "node:test";
import { decodeHeartbeat, encodeHeartbeat } from "../../../src/protocol/peer/forwarding-wire.js";
import { forwardedHeartbeat } from "../../support/forwarded-heartbeat.js";

test("a forwarded heartbeat keeps every field on its way between controllers", () => {
	assert.deepEqual(decodeHeartbeat(encodeHeartbeat(forwardedHeartbeat)), forwardedHeartbeat);
});
