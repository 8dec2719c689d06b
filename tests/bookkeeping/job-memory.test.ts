import assert from "node:assert/strict";
import { execFileSync } from "node:child_process";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { fileURLToPath } from "node:url";

/** Runs a script of tests/support in a process of its own, and returns the number that it prints. */
function runScript(heapOptions: string[], script: string, argument = ""): number {
	const path = fileURLToPath(new URL(`../support/${script}.js`, import.meta.url));
	const output = execFileSync(process.execPath, [...heapOptions, path, argument], {
		stdio: ["ignore", "pipe", "pipe"],
	});
	return Number(output.toString());
}

/** The options of deploy/service.toml that size the heap. */
function deployedHeapOptions(): string[] {
	const text = readFileSync(new URL("../../../../deploy/service.toml", import.meta.url), "utf8");
	return text.match(/--max-[a-z-]+-size=\d+/g) ?? [];
}

// Guards against leaders that run out of memory one after the other: a list of waiting tasks took 9 bytes for each task,
// so that 1,000 arrays of 100,000 tasks needed 900 MB (review/2).
test("a leader holds 1,000 arrays of 100,000 tasks in a heap of 24 MB, and their tasks run", () => {
	assert.equal(runScript(["--max-old-space-size=24"], "load-large-arrays", "1000"), 20_000);
});

// Guards against accepting more jobs than the next leader can load (review/2).
for (const [kind, minJobs] of [
	["small", 5000],
	["largest records", 400],
	["largest arrays", 380],
	["largest arrays with partial pages", 380],
] as const) {
	test(`a leader loads and reloads as many jobs as are accepted, beside a large fleet: ${kind}`, () => {
		assert.ok(runScript(deployedHeapOptions(), "load-accepted-jobs", kind) >= minJobs);
	});
}

// Guards against a leader that runs out of memory when accepted jobs of very small tasks run.
test("a leader holds as many attempts as it starts, beside accepted jobs and 4,000 machines", () => {
	const minAttemptsPerMachine = 16;
	assert.ok(runScript(deployedHeapOptions(), "load-attempts") >= 4000 * minAttemptsPerMachine);
});
