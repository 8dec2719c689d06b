import assert from "node:assert/strict";
import { readdirSync } from "node:fs";
import { describe, test } from "node:test";
import {
	forbiddenImports,
	type ImportRules,
	importsOf,
	layeredOrder,
	readSourceTree,
} from "./support/import-rules.js";

// Compiled tests run from target/tests/tests; the sources stay in the source tree.
const source = new URL("../../../src/", import.meta.url);
const packages = new URL("../../../packages/", import.meta.url);

const model = ["protocol", "protocol/model"];
const protocolFolders = [...model, "protocol/http", "protocol/peer", "protocol/records", "protocol/settings"];
const domain = [...protocolFolders, "bookkeeping"];
const shared = [...domain, "coordination/ports"];
const clusterState = [...shared, "coordination/state"];

/** The folders that the modules of each folder may import. The order of the layers is in docs/architecture.md. */
const rules: ImportRules = {
	protocol: [],
	"protocol/model": [],
	"protocol/http": model,
	"protocol/peer": model,
	"protocol/records": model,
	"protocol/settings": model,
	bookkeeping: protocolFolders,
	"coordination/ports": domain,
	"coordination/runtime": ["coordination/ports"],
	"coordination/sharding": [],
	"coordination/replication": shared,
	"coordination/state": shared,
	"coordination/leadership": [...clusterState, "coordination/sharding"],
	"coordination/jobs": [...clusterState, "coordination/replication"],
	"coordination/workers": [...clusterState, "coordination/replication", "coordination/runtime"],
	"coordination/placement": [
		...clusterState,
		"coordination/sharding",
		"coordination/leadership",
		"coordination/workers",
	],
	"coordination/preemption": [...clusterState, "coordination/placement", "coordination/workers"],
	"coordination/fleet": [...clusterState, "coordination/placement", "coordination/workers"],
	coordination: [
		...clusterState,
		"coordination/runtime",
		"coordination/replication",
		"coordination/leadership",
		"coordination/jobs",
		"coordination/workers",
		"coordination/placement",
		"coordination/preemption",
		"coordination/fleet",
	],
	transport: [],
	"transport/clients": [...protocolFolders, "coordination/ports", "transport"],
	"transport/peers": [...protocolFolders, "coordination/ports", "transport"],
	"transport/public": [
		...protocolFolders,
		"coordination/ports",
		"coordination/jobs",
		"coordination/workers",
		"transport",
	],
	".": [...shared, "coordination", "transport", "transport/clients", "transport/peers", "transport/public"],
};

describe("imports between the folders of src", () => {
	const tree = readSourceTree(source);

	test("follow the rules in every module, at any depth", () => {
		assert.ok(tree.size > 80, `only ${tree.size} modules were read`);
		assert.deepEqual(forbiddenImports(tree, rules), []);
	});

	test("have a rule for each folder, and no rule for a folder that does not exist", () => {
		const folders = new Set([...tree.keys()].map((file) => file.split("/").slice(0, -1).join("/") || "."));
		assert.deepEqual([...folders].sort(), Object.keys(rules).sort());
	});

	test("have no cycles", () => {
		assert.equal(layeredOrder(rules).length, Object.keys(rules).length);
	});

	for (const folder of Object.keys(rules))
		test(`a forbidden import is reported in ${folder}`, () => {
			const forbidden = Object.keys(rules).filter(
				(other) => other !== folder && !rules[folder]?.includes(other),
			);
			assert.ok(forbidden.length > 0);
			const up = folder === "." ? "./" : "../".repeat(folder.split("/").length);
			for (const other of forbidden) {
				const path = other === "." ? "" : `${other}/`;
				for (const statement of [
					`import { planted } from "${up}${path}planted.js";`,
					`import type { Planted } from "${up}${path}planted.js";`,
					`export * from "${up}${path}planted.js";`,
					`const planted = await import("${up}${path}planted.js");`,
				]) {
					const file = folder === "." ? "planting.ts" : `${folder}/planting.ts`;
					const found = forbiddenImports(new Map([[file, statement]]), rules);
					assert.deepEqual(found, [`${file} imports ${other}`]);
				}
			}
		});

	test("a module in a folder without a rule is reported", () => {
		const found = forbiddenImports(new Map([["coordination/new/module.ts", ""]]), rules);
		assert.deepEqual(found, ["coordination/new/module.ts: no rule for folder coordination/new"]);
	});
});

test("coordination does not import network or file modules, since it uses external systems only through ports", () => {
	const outside = /^(node:)?(net|http|https|dns|fs)(\/|$)/;
	for (const [file, text] of readSourceTree(new URL("coordination/", source)))
		for (const specifier of importsOf(text)) assert.doesNotMatch(specifier, outside, file);
});

test("packages do not import modules of the service, and the layers of the service do not import packages", () => {
	for (const name of readdirSync(packages)) {
		const sources = readSourceTree(new URL(`${name}/src/`, packages));
		assert.ok(sources.size > 0, name);
		for (const [file, text] of sources)
			for (const specifier of importsOf(text))
				assert.ok(!specifier.includes("..") && !specifier.startsWith("#"), `${file} imports ${specifier}`);
	}
	for (const layer of ["protocol", "bookkeeping", "coordination", "transport"])
		for (const [file, text] of readSourceTree(new URL(`${layer}/`, source)))
			for (const specifier of importsOf(text)) assert.ok(!specifier.startsWith("#"), `${layer}/${file}`);
});
