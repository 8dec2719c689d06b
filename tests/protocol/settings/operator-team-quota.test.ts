import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { defaultOperator, parseOperator } from "../../../src/protocol/settings/operator.js";

test("the operators' file has a section for team quota, and bad fields are refused by name", async () => {
	assert.equal(defaultOperator().team_quota.enabled, false);
	const given = readFileSync(new URL("../../../../../deploy/operator.yaml", import.meta.url), "utf8");
	assert.equal((await parseOperator("operator.yaml", given)).team_quota.expiry_s, 2.5);
	const refused = (text: string, field: RegExp) =>
		assert.rejects(parseOperator("operator.yaml", text), field);
	await refused("team_quota: { enable: true }", /team_quota.enable/);
	await refused("team_quota: { expiry_s: 0 }", /team_quota.expiry_s/);
	await refused("team_quota: { expiry_s: 1, margin_s: 0.6 }", /team_quota.margin_s/);
});
