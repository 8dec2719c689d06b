import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { version } from "../src/version.js";
import { settings } from "./support/public-service.js";

const root = fileURLToPath(new URL("../../../", import.meta.url));

function run(args: string[]): Promise<{ code: number; out: string; err: string }> {
	const main = fileURLToPath(new URL("../src/main.js", import.meta.url));
	return new Promise((resolve) => {
		execFile(process.execPath, [main, ...args], (error, out, err) =>
			resolve({ code: typeof error?.code === "number" ? error.code : 0, out, err }),
		);
	});
}

test("the command line: --check, --version, bad settings and missing options", async () => {
	const dir = mkdtempSync(join(tmpdir(), "ramphub-test-"));
	try {
		const good = join(dir, "good.toml");
		const bad = join(dir, "bad.toml");
		writeFileSync(good, settings);
		writeFileSync(bad, settings.replace("cloud =", "clod ="));
		const pkg = JSON.parse(readFileSync(join(root, "package.json"), "utf8")) as { version: string };
		assert.equal(version, pkg.version);
		assert.deepEqual(await run(["--version"]), { code: 0, out: `${pkg.version}\n`, err: "" });
		assert.equal((await run(["--config", good, "--check"])).code, 0);
		const failed = await run(["--config", bad, "--check"]);
		assert.equal(failed.code, 2);
		assert.match(failed.err, /bad\.toml: field "endpoints\.cloud"/);
		assert.equal((await run([])).code, 2);
		assert.match((await run(["--help"])).out, /--operator <file>/);
	} finally {
		rmSync(dir, { recursive: true });
	}
});
