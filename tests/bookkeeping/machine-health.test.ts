import assert from "node:assert/strict";
import { test } from "node:test";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { Machine } from "../../src/bookkeeping/machine.js";
import { isMuchSlower } from "../../src/bookkeeping/machine-health.js";
import { small } from "../support/small-cluster.js";

test("a machine much slower than others with the same work is noticed, ordinary spread is not", () => {
	const machine = (id: string) =>
		new Machine({ id, type: small, zone: "a", spot: true, origin: "heartbeat" }, 0);
	const random = xoroshiro128plus(21);
	const all = ["n-1", "n-2", "n-3", "n-slow"].map(machine);
	let noticedAfter = 0;
	for (let i = 1; i <= 60; i++) {
		for (const m of all) {
			const factor = 0.6 + uniformInt(random, 0, 80) / 100;
			// The mean of a job whose long tasks still run is too low, for all alike.
			m.health.noteRun((m.id === "n-slow" ? 75 : 30) * factor, 20);
			const slow = isMuchSlower(m, all);
			if (m.id !== "n-slow") assert.equal(slow, false);
			else if (slow && noticedAfter === 0) noticedAfter = i;
		}
	}
	assert.ok(noticedAfter >= 10 && noticedAfter <= 20, `after ${noticedAfter} runs`);
	assert.equal(
		isMuchSlower(all[3] as Machine, [all[0] as Machine]),
		false,
		"one other machine is no measure",
	);
});
