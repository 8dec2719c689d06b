import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { parsePlatformSettings } from "../../../src/protocol/settings/platform.js";
import { platformSettingsToml } from "../../support/platform-settings.js";

const parse = (source: string) => parsePlatformSettings("s.toml", source);

/** Returns the settings with one text replaced, which must exist. */
function changed(from: string | RegExp, to: string): string {
	const source = platformSettingsToml.replace(from, to);
	assert.notEqual(source, platformSettingsToml);
	return source;
}

describe("the platform's settings", () => {
	test("may contain unknown fields", () => {
		assert.equal(parse(platformSettingsToml).node, "runner-0");
	});

	test("are rejected with the file name if they are not TOML", () => {
		assert.throws(() => parse("node = "), /s\.toml: not TOML/);
	});

	test("are rejected with the field name if a field is missing", () => {
		assert.throws(() => parse(changed("lease_s = 10.0", "")), /"cluster\.workers\.lease_s"/);
	});

	test("are rejected if the workers' times are inconsistent", () => {
		assert.throws(() => parse(changed("report_s = 1.0", "report_s = 10.0")), /"cluster\.workers\.report_s"/);
		assert.throws(() => parse(changed("cancel_s = 37.0", "cancel_s = 9.0")), /"cluster\.workers\.lease_s"/);
	});
});

describe("the limits of teams in the platform's settings", () => {
	test("are infinite if the file has 0 or omits them", () => {
		assert.equal(parse(platformSettingsToml).cluster.teams[0]?.limit.gpus, Number.POSITIVE_INFINITY);
		const guest = changed(/cpus = [\d.]+\ncpus_max = 8\.0/, "cpus = 0.0\ncpus_max = 0.0");
		const [team] = parse(guest).cluster.teams;
		assert.deepEqual([team?.guaranteed.cpus, team?.limit.cpus], [0, Number.POSITIVE_INFINITY]);
	});

	test("are rejected below the team's guarantee", () => {
		assert.throws(() => parse(changed("cpus_max = 8.0", "cpus_max = 1.0")), /guarantee must not exceed/);
	});

	test("are rejected if a team is named twice", () => {
		const team = '[[cluster.teams]]\nname = "red"\ncpus = 4.0\ncpus_max = 8.0\n';
		const source = changed("[[cluster.teams]]", `${team}[[cluster.teams]]`);
		assert.throws(() => parse(source), /"cluster\.teams\.1\.name": "red" is named twice/);
	});
});

describe("the controllers in the platform's settings", () => {
	const peer = (node: string) => `[[others]]\nnode = "${node}"\ndomain = "z"\naddr = "127.0.0.1:9"\n`;
	const fiveControllers = `${changed("nodes = 1", "nodes = 5")}${["a", "b", "c", "d"].map(peer).join("")}`;

	test("are accepted if each is named once and their number is that of the cluster", () => {
		assert.equal(parse(fiveControllers).others.length, 4);
	});

	test("are rejected if their number differs from that of the cluster", () => {
		const source = fiveControllers.replace("nodes = 5", "nodes = 3");
		assert.throws(() => parse(source), /"cluster\.nodes": is 3, but .* are 5/);
	});

	test("are rejected if one is named twice", () => {
		const twice = fiveControllers.replace('"d"', '"a"');
		assert.throws(() => parse(twice), /"others\.3\.node": "a" is named twice/);
		const self = fiveControllers.replace('"d"', '"runner-0"');
		assert.throws(() => parse(self), /"others\.3\.node": "runner-0" is named twice/);
	});
});

describe("future limits of the store", () => {
	const storeLimits = (next: string) =>
		parse(`${platformSettingsToml}[cluster.state.next]\n${next}\n`).cluster.state;

	test("apply from the start if they are lower", () => {
		const lesser = storeLimits("value_kb = 2.0\ntxn_ops = 4\nwrite_rps = 40.0");
		assert.deepEqual([lesser.value_kb, lesser.txn_ops, lesser.write_rps, lesser.rps], [2, 4, 20, 100]);
		assert.equal(storeLimits("").value_kb, 16);
	});

	test("are rejected with the field name if they are invalid", () => {
		for (const wrong of [
			"value_kb = 0",
			"txn_ops = -1",
			"txn_ops = 1.5",
			"write_rps = nan",
			'rps = "many"',
		]) {
			const [field] = wrong.split(" ");
			assert.throws(
				() => storeLimits(wrong),
				new RegExp(`s\\.toml: field "cluster\\.state\\.next\\.${field}"`),
			);
		}
	});
});
