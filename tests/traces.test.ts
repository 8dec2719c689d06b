import { readdirSync, readFileSync } from "node:fs";
import { test } from "node:test";
import { parse } from "yaml";
import type { Trace } from "./support/trace.js";
import { TracePlayer } from "./support/trace-player.js";

// Compiled tests run from target/tests/tests; traces stay in the source tree.
const folder = new URL("../../../tests/traces/", import.meta.url);

for (const file of readdirSync(folder).sort()) {
	const trace = parse(readFileSync(new URL(file, folder), "utf8")) as Trace;
	const stories = Object.entries(trace.variants ?? { "": [] });
	for (const [variant, more] of stories) {
		const steps = [...trace.steps, ...more].sort((a, b) => a.at - b.at);
		const name = variant === "" ? trace.title : `${trace.title}; ${variant}`;
		test(`${file}: ${name}`, () => new TracePlayer({ ...trace, steps }, false).play());
		test(`${file}: ${name}, limits divided`, () => new TracePlayer({ ...trace, steps }, false, true).play());
		if (!trace.relayed) continue;
		const relayed = `${file}${variant === "" ? "" : `: ${variant}`}, reports received by all controllers`;
		test(relayed, () => new TracePlayer({ ...trace, steps }, true).play());
	}
}
