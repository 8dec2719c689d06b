import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { encodeFrame, FrameReader } from "../../../src/transport/peers/frame.js";

describe("frames between controllers", () => {
	test("are decoded completely for any division of the stream into chunks", () => {
		const messages = [{ a: 1 }, { text: "x".repeat(1000), list: [1, null, "y"] }, 7];
		const bytes = Buffer.concat(messages.map(encodeFrame));
		for (const chunkBytes of [1, 3, 500, bytes.length]) {
			const reader = new FrameReader();
			const received: unknown[] = [];
			for (let from = 0; from < bytes.length; from += chunkBytes) {
				received.push(...reader.push(bytes.subarray(from, from + chunkBytes)));
			}
			assert.deepEqual(received, messages);
		}
	});

	test("consist of a length of four bytes and CBOR without records", () => {
		assert.equal(encodeFrame({ hello: "a" }).toString("hex"), "0000000bb900016568656c6c6f6161");
	});

	test("above the maximum length are rejected by their length", () => {
		assert.throws(() => new FrameReader().push(Buffer.from([255, 255, 255, 255])), /frame of/);
	});
});
