import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, describe, test } from "node:test";
import { fileURLToPath } from "node:url";
import { version } from "../src/version.js";
import { platformSettingsToml } from "./support/platform-settings.js";

const root = fileURLToPath(new URL("../../../", import.meta.url));

interface CommandResult {
	code: number;
	out: string;
	err: string;
}

function run(args: string[]): Promise<CommandResult> {
	const main = fileURLToPath(new URL("../src/main.js", import.meta.url));
	return new Promise((resolve) => {
		execFile(process.execPath, [main, ...args], (error, out, err) =>
			resolve({ code: typeof error?.code === "number" ? error.code : 0, out, err }),
		);
	});
}

describe("the command line", () => {
	let dir = "";
	before(() => {
		dir = mkdtempSync(join(tmpdir(), "ramphub-test-"));
	});
	after(() => rmSync(dir, { recursive: true }));

	function settingsFile(name: string, text: string): string {
		const file = join(dir, name);
		writeFileSync(file, text);
		return file;
	}

	test("--version prints the version of the package", async () => {
		const packageFile = readFileSync(join(root, "package.json"), "utf8");
		const { version: packageVersion } = JSON.parse(packageFile) as { version: string };
		assert.equal(version, packageVersion);
		assert.deepEqual(await run(["--version"]), { code: 0, out: `${packageVersion}\n`, err: "" });
	});

	test("--check accepts valid settings with exit code 0", async () => {
		const validFile = settingsFile("good.toml", platformSettingsToml);
		assert.equal((await run(["--config", validFile, "--check"])).code, 0);
	});

	test("--check rejects invalid settings with exit code 2, and names the file and the field", async () => {
		const invalidFile = settingsFile("bad.toml", platformSettingsToml.replace("cloud =", "clod ="));
		const { code, err } = await run(["--config", invalidFile, "--check"]);
		assert.equal(code, 2);
		assert.match(err, /bad\.toml: field "endpoints\.cloud"/);
	});

	test("a settings file that cannot be read is rejected with exit code 2 and the cause", async () => {
		const { code, err } = await run(["--config", join(dir, "missing.toml"), "--check"]);
		assert.equal(code, 2);
		assert.match(err, /missing\.toml: cannot be read \(ENOENT\)/);
	});

	test("a missing required option is rejected with exit code 2", async () => {
		assert.equal((await run([])).code, 2);
	});

	test("--help lists the options", async () => {
		assert.match((await run(["--help"])).out, /--operator <file>/);
	});
});
