import assert from "node:assert/strict";
import { test } from "node:test";
import { parsePlatform } from "../../../src/protocol/settings/platform.js";
import { settings } from "../../support/public-service.js";

test("platform settings: unknown fields are ignored, faults are named with their file", () => {
	// No limit was told, and 0 means none: neither keeps a team from using anything.
	assert.equal(parsePlatform("s.toml", settings).cluster.teams[0]?.limit.gpus, Number.POSITIVE_INFINITY);
	const guest = settings.replace(/cpus = [\d.]+\ncpus_max = 8\.0/, "cpus = 0.0\ncpus_max = 0.0");
	assert.notEqual(guest, settings);
	const [team] = parsePlatform("s.toml", guest).cluster.teams;
	assert.deepEqual([team?.guaranteed.cpus, team?.limit.cpus], [0, Number.POSITIVE_INFINITY]);
	assert.throws(() => parsePlatform("s.toml", "node = "), /s\.toml: not TOML/);
	assert.throws(
		() => parsePlatform("s.toml", settings.replace("lease_s = 10.0", "")),
		/"cluster\.workers\.lease_s"/,
	);
	assert.throws(
		() => parsePlatform("s.toml", settings.replace("cpus_max = 8.0", "cpus_max = 1.0")),
		/guarantee must not exceed/,
	);
	const peer = (node: string) => `[[others]]\nnode = "${node}"\ndomain = "z"\naddr = "127.0.0.1:9"\n`;
	const with4 = `${settings.replace("nodes = 1", "nodes = 5")}${["a", "b", "c", "d"].map(peer).join("")}`;
	assert.equal(parsePlatform("s.toml", with4).others.length, 4);
	const refused: [string, RegExp][] = [
		[with4.replace("nodes = 5", "nodes = 3"), /"cluster\.nodes": is 3, but .* are 5/],
		[with4.replace('"d"', '"a"'), /"others\.3\.node": "a" is named twice/],
		[with4.replace('"d"', '"runner-0"'), /"others\.3\.node": "runner-0" is named twice/],
		[settings.replace("report_s = 1.0", "report_s = 10.0"), /"cluster\.workers\.report_s"/],
		[settings.replace("cancel_s = 37.0", "cancel_s = 9.0"), /"cluster\.workers\.lease_s"/],
	];
	for (const [text, message] of refused) assert.throws(() => parsePlatform("s.toml", text), message);
});

test("limits of the state service that are to come hold from the start; impossible ones are refused by field", () => {
	const state = (next: string) =>
		parsePlatform("s.toml", `${settings}[cluster.state.next]\n${next}\n`).cluster.state;
	const lesser = state("value_kb = 2.0\ntxn_ops = 4\nwrite_rps = 40.0");
	assert.deepEqual([lesser.value_kb, lesser.txn_ops, lesser.write_rps, lesser.rps], [2, 4, 20, 100]);
	assert.equal(state("").value_kb, 16);
	for (const wrong of ["value_kb = 0", "txn_ops = -1", "txn_ops = 1.5", "write_rps = nan", 'rps = "many"'])
		assert.throws(
			() => state(wrong),
			new RegExp(`s\\.toml: field "cluster\\.state\\.next\\.${wrong.split(" ")[0]}"`),
		);
});
