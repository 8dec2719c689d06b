import assert from "node:assert/strict";
import { execFileSync } from "node:child_process";
import { test } from "node:test";
import { fileURLToPath } from "node:url";

const loadLargeArrays = fileURLToPath(new URL("../support/load-large-arrays.js", import.meta.url));

// Guards against leaders that run out of memory one after the other: a list of waiting tasks took 9 bytes for each task,
// so that 1,000 arrays of 100,000 tasks needed 900 MB (review/2).
test("a leader holds 1,000 arrays of 100,000 tasks in a heap of 24 MB, and their tasks run", () => {
	const output = execFileSync(process.execPath, ["--max-old-space-size=24", loadLargeArrays, "1000"], {
		stdio: ["ignore", "pipe", "ignore"],
	});
	assert.equal(output.toString().trim(), "20000");
});
