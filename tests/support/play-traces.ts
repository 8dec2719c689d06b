import { readdirSync, readFileSync } from "node:fs";
import { test } from "node:test";
import { parse } from "yaml";
import type { Trace } from "./trace.js";
import { TracePlayer } from "./trace-player.js";

// Compiled tests run from target/tests/tests; traces stay in the source tree.
const tracesFolder = new URL("../../../../tests/traces/", import.meta.url);

/** Configuration of the controllers in which the traces are played. */
export type TraceMode = "plain" | "team quota" | "forwarded heartbeats";

/** Each mode has two test files with half of the traces each, which the test runner can run in parallel. */
export type TraceHalf = "first" | "second";

function filesOf(half: TraceHalf): string[] {
	const files = readdirSync(tracesFolder)
		.filter((file) => file.endsWith(".yaml"))
		.sort();
	const middle = Math.ceil(files.length / 2);
	return half === "first" ? files.slice(0, middle) : files.slice(middle);
}

/** Defines one test for each trace, or for each variant of a trace that has variants. */
export function defineTraceTests(mode: TraceMode, half: TraceHalf): void {
	for (const file of filesOf(half)) {
		const trace = parse(readFileSync(new URL(file, tracesFolder), "utf8")) as Trace;
		if (mode === "forwarded heartbeats" && !trace.forwarded_heartbeats) continue;
		for (const [variant, variantSteps] of Object.entries(trace.variants ?? { "": [] })) {
			const steps = [...trace.steps, ...variantSteps].sort((a, b) => a.at - b.at);
			const title = variant === "" ? trace.title : `${trace.title}; ${variant}`;
			const options = { forwarding: mode === "forwarded heartbeats", teamQuota: mode === "team quota" };
			test(`${file}: ${title} (${mode})`, () => new TracePlayer({ ...trace, steps }, options).play());
		}
	}
}
