import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { describe, test } from "node:test";
import { SettingsError } from "../../../src/protocol/errors.js";
import { defaultOperatorSettings, parseOperatorSettings } from "../../../src/protocol/settings/operator.js";

const parse = (source: string) => parseOperatorSettings("o.yaml", source);

describe("the operators' settings", () => {
	test("have the values of the file, and defaults for omitted fields", async () => {
		assert.equal((await parse("climb:\n  high: 2\n")).climb.high, 2);
		assert.equal((await parse("")).climb.up_past, 3);
		assert.deepEqual(await parse(""), defaultOperatorSettings());
	});

	test("are rejected for an unknown field, with its name", async () => {
		await assert.rejects(parse("climb:\n  hgih: 2\n"), /o\.yaml: .*hgih/);
	});

	test("are rejected if two fields are inconsistent", async () => {
		await assert.rejects(parse("climb:\n  high: 0.1\n"), /"climb\.low": must be below/);
		await assert.rejects(parse("leadership: { ttl_s: 1, margin_s: 0.5 }"), /"leadership\.margin_s": must be/);
	});

	test("are rejected unless the file is a YAML mapping", async () => {
		await assert.rejects(parse("- 1\n"), /expected a mapping/);
		await assert.rejects(parse("climb: [\n"), (error) => {
			assert.ok(error instanceof SettingsError);
			assert.match(error.message, /^o\.yaml: not YAML: [^\n]+$/);
			return true;
		});
	});
});

describe("the operators' settings of team quota", () => {
	test("disable team quota by default", () => {
		assert.equal(defaultOperatorSettings().team_quota.enabled, false);
	});

	test("are parsed from the deployed operators' file", async () => {
		// Compiled tests run from target/tests/tests; the deployment's files stay in the source tree.
		const file = new URL("../../../../../deploy/operator.yaml", import.meta.url);
		const deployed = await parseOperatorSettings("operator.yaml", readFileSync(file, "utf8"));
		assert.equal(deployed.team_quota.expiry_s, 2.5);
	});

	test("are rejected with the name of the invalid field", async () => {
		await assert.rejects(parse("team_quota: { enable: true }"), /team_quota.enable/);
		await assert.rejects(parse("team_quota: { expiry_s: 0 }"), /team_quota.expiry_s/);
		await assert.rejects(parse("team_quota: { expiry_s: 1, margin_s: 0.6 }"), /team_quota.margin_s/);
	});
});
