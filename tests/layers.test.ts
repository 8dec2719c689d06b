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
const sourceRoot = new URL("../../../src/", import.meta.url);
const packagesRoot = new URL("../../../packages/", import.meta.url);

const modelFolders = ["protocol", "protocol/model"];
const protocolFolders = [
	...modelFolders,
	"protocol/http",
	"protocol/peer",
	"protocol/records",
	"protocol/settings",
];
const domainFolders = [...protocolFolders, "bookkeeping"];
const sharedFolders = [...domainFolders, "coordination/ports"];
const sharedFoldersAndState = [...sharedFolders, "coordination/state"];

/** The folders that the modules of each folder may import. The order of the layers is in docs/architecture.md. */
const rules: ImportRules = {
	protocol: [],
	"protocol/model": [],
	"protocol/http": modelFolders,
	"protocol/peer": modelFolders,
	"protocol/records": modelFolders,
	"protocol/settings": modelFolders,
	bookkeeping: protocolFolders,
	"coordination/ports": domainFolders,
	"coordination/runtime": ["coordination/ports"],
	"coordination/sharding": [],
	"coordination/replication": sharedFolders,
	"coordination/state": sharedFolders,
	"coordination/leadership": [...sharedFoldersAndState, "coordination/sharding"],
	"coordination/jobs": [...sharedFoldersAndState, "coordination/replication"],
	"coordination/workers": [...sharedFoldersAndState, "coordination/replication", "coordination/runtime"],
	"coordination/placement": [
		...sharedFoldersAndState,
		"coordination/sharding",
		"coordination/leadership",
		"coordination/workers",
	],
	"coordination/preemption": [...sharedFoldersAndState, "coordination/placement", "coordination/workers"],
	"coordination/fleet": [...sharedFoldersAndState, "coordination/placement", "coordination/workers"],
	coordination: [
		...sharedFoldersAndState,
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
	".": [
		...sharedFolders,
		"coordination",
		"transport",
		"transport/clients",
		"transport/peers",
		"transport/public",
	],
};

describe("imports between the folders of src", () => {
	const tree = readSourceTree(sourceRoot);

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
			const pathToRoot = folder === "." ? "./" : "../".repeat(folder.split("/").length);
			for (const other of forbidden) {
				const path = other === "." ? "" : `${other}/`;
				for (const statement of [
					`import { planted } from "${pathToRoot}${path}planted.js";`,
					`import type { Planted } from "${pathToRoot}${path}planted.js";`,
					`export * from "${pathToRoot}${path}planted.js";`,
					`const planted = await import("${pathToRoot}${path}planted.js");`,
				]) {
					const file = folder === "." ? "planting.ts" : `${folder}/planting.ts`;
					const violations = forbiddenImports(new Map([[file, statement]]), rules);
					assert.deepEqual(violations, [`${file} imports ${other}`]);
				}
			}
		});

	test("a module in a folder without a rule is reported", () => {
		const violations = forbiddenImports(new Map([["coordination/new/module.ts", ""]]), rules);
		assert.deepEqual(violations, ["coordination/new/module.ts: no rule for folder coordination/new"]);
	});
});

test("coordination does not import network or file modules, since it uses external systems only through ports", () => {
	const networkOrFileModule = /^(node:)?(net|http|https|dns|fs)(\/|$)/;
	for (const [file, text] of readSourceTree(new URL("coordination/", sourceRoot)))
		for (const specifier of importsOf(text)) assert.doesNotMatch(specifier, networkOrFileModule, file);
});

test("packages do not import modules of the service, and the layers of the service do not import packages", () => {
	for (const name of readdirSync(packagesRoot)) {
		const sources = readSourceTree(new URL(`${name}/src/`, packagesRoot));
		assert.ok(sources.size > 0, name);
		for (const [file, text] of sources)
			for (const specifier of importsOf(text))
				assert.ok(!specifier.includes("..") && !specifier.startsWith("#"), `${file} imports ${specifier}`);
	}
	for (const layer of ["protocol", "bookkeeping", "coordination", "transport"])
		for (const [file, text] of readSourceTree(new URL(`${layer}/`, sourceRoot)))
			for (const specifier of importsOf(text)) assert.ok(!specifier.startsWith("#"), `${layer}/${file}`);
});
