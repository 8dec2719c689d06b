/**
 * Literal wire examples of the messages between controllers. Controllers of different versions exchange these
 * messages during an upgrade, so no name or value on the wire may change. The fixtures of production versions check
 * the same for recorded messages of those versions; these examples also cover values that the recorded runs lack.
 */

import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { MalformedMessageError } from "../../../src/protocol/errors.js";
import { decodePeerMessage, encodePeerMessage, wireKind } from "../../../src/protocol/peer/codec.js";
import { decodeHello, encodeHello } from "../../../src/protocol/peer/hello-wire.js";
import { messageExamples } from "../../support/message-examples.js";

describe("messages between controllers on the wire", () => {
	for (const [kind, examplesOfKind] of Object.entries(messageExamples)) {
		for (const { description, wire, message } of examplesOfKind) {
			test(`${kind} is decoded: ${description}`, () => {
				assert.deepStrictEqual(decodePeerMessage(wire), message);
			});

			test(`${kind} is encoded: ${description}`, () => {
				assert.deepStrictEqual(encodePeerMessage(message), wire);
			});
		}
	}

	test("a placement proposal of a first version, which omits the unknown jobs, is decoded", () => {
		const wire = { kind: "placed", epoch: 21, cycle: 9, placements: [] };
		const message = { kind: "placement-proposal", term: 21, cycle: 9, placements: [], unknownJobs: [] };
		assert.deepStrictEqual(decodePeerMessage(wire), message);
	});

	test("an unknown kind is rejected, and its name is truncated for the log", () => {
		const wire = { kind: "x".repeat(100) };
		assert.throws(() => decodePeerMessage(wire), MalformedMessageError);
		assert.equal(wireKind(wire), "x".repeat(40));
		for (const other of [null, undefined, 7, "view", {}, { kind: 7 }]) assert.equal(wireKind(other), "none");
	});
});

describe("the first message on a connection between controllers", () => {
	test("contains the name of the controller that opened the connection", () => {
		assert.deepStrictEqual(encodeHello("runner-2"), { hello: "runner-2" });
		assert.equal(decodeHello({ hello: "runner-2" }), "runner-2");
	});

	test("is rejected in any other form", () => {
		for (const raw of [null, undefined, "runner-2", 7, {}, { hello: 7 }])
			assert.equal(decodeHello(raw), null);
	});
});
