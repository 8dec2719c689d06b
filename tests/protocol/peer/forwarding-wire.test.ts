import assert from "node:assert/strict";
import { test } from "node:test";
import { decodeHeartbeat, encodeHeartbeat } from "../../../src/protocol/peer/forwarding-wire.js";
import { forwardedHeartbeat } from "../../support/forwarded-heartbeat.js";

test("a forwarded heartbeat has the same fields after encoding and decoding", () => {
	assert.deepEqual(decodeHeartbeat(encodeHeartbeat(forwardedHeartbeat)), forwardedHeartbeat);
});
