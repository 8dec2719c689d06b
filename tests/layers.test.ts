import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { test } from "node:test";

// Compiled tests run from target/tests/tests; the sources stay in the source tree.
const source = new URL("../../../src/", import.meta.url);

/** What each layer may import of the others. */
const allowed: Record<string, string[]> = {
	protocol: [],
	bookkeeping: ["protocol"],
	coordination: ["protocol", "bookkeeping"],
	transport: ["protocol", "coordination"],
};

for (const [layer, others] of Object.entries(allowed)) {
	test(`${layer} imports nothing of ${Object.keys(allowed).filter((l) => l !== layer && !others.includes(l))}`, () => {
		const folder = new URL(`${layer}/`, source);
		const files = readdirSync(folder).filter((file) => file.endsWith(".ts"));
		assert.ok(files.length > 0);
		for (const file of files) {
			const text = readFileSync(new URL(file, folder), "utf8");
			for (const [, other] of text.matchAll(/from "\.\.\/(\w+)\//g))
				assert.ok(others.includes(other as string), `${layer}/${file} imports from ${other}`);
		}
	});
}

test("coordination reaches the world outside by its ports only", () => {
	const folder = new URL("coordination/", source);
	for (const file of readdirSync(folder)) {
		const text = readFileSync(new URL(file, folder), "utf8");
		assert.doesNotMatch(text, /from "node:(net|http|https|dns|fs)"/, file);
	}
});

test("packages import nothing of the service, and its layers nothing of a package", () => {
	const sourcesIn = (folder: URL): string[] =>
		readdirSync(folder, { recursive: true, encoding: "utf8" })
			.filter((file) => file.endsWith(".ts"))
			.map((file) => readFileSync(new URL(file, folder), "utf8"));
	const packages = new URL("../../../packages/", import.meta.url);
	for (const name of readdirSync(packages)) {
		const sources = sourcesIn(new URL(`${name}/src/`, packages));
		assert.ok(sources.length > 0, name);
		for (const text of sources)
			for (const [, from] of text.matchAll(/from "([^"]+)"/g))
				assert.ok(!from?.includes("..") && !from?.startsWith("#"), `${name} imports ${from}`);
	}
	for (const layer of Object.keys(allowed))
		for (const text of sourcesIn(new URL(`${layer}/`, source))) assert.doesNotMatch(text, /from "#/, layer);
});
