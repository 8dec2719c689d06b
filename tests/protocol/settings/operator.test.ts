import assert from "node:assert/strict";
import { test } from "node:test";
import { parseOperator } from "../../../src/protocol/settings/operator.js";

test("operators' settings: unknown fields are rejected by name, limits are checked", async () => {
	assert.equal((await parseOperator("o.yaml", "climb:\n  high: 2\n")).climb.high, 2);
	assert.equal((await parseOperator("o.yaml", "")).climb.up_past, 3);
	await assert.rejects(parseOperator("o.yaml", "climb:\n  hgih: 2\n"), /o\.yaml: .*hgih/);
	await assert.rejects(parseOperator("o.yaml", "climb:\n  high: 0.1\n"), /"climb\.low": must be below/);
	await assert.rejects(parseOperator("o.yaml", "- 1\n"), /expected a mapping/);
});
