import assert from "node:assert/strict";
import { test } from "node:test";
import { encodeFrame, FrameReader } from "../../../src/transport/peers/frame.js";

test("frames between controllers survive any cutting of the stream", () => {
	const messages = [{ a: 1 }, { text: "x".repeat(1000), list: [1, null, "y"] }, 7];
	const bytes = Buffer.concat(messages.map(encodeFrame));
	for (const step of [1, 3, 500, bytes.length]) {
		const reader = new FrameReader();
		const got: unknown[] = [];
		for (let i = 0; i < bytes.length; i += step) got.push(...reader.push(bytes.subarray(i, i + step)));
		assert.deepEqual(got, messages);
	}
	assert.throws(() => new FrameReader().push(Buffer.from([255, 255, 255, 255])), /frame of/);
});
