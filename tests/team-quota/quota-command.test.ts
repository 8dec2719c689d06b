import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, writeFileSync } from "node:fs";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import type { ShownTeam } from "#team-quota";
import { worldWithJob } from "../support/quota-world.js";
import { nodeNames, platformSettingsText } from "../support/world-settings.js";

test("ramphub quota shows and sets limits, gives the reason for a refusal, and exits with 0, 1 or 2", async () => {
	const world = await worldWithJob(2);
	const server = createServer(async (request, response) => {
		const chunks: Buffer[] = [];
		for await (const chunk of request) chunks.push(chunk as Buffer);
		const text = Buffer.concat(chunks).toString();
		const body = text === "" ? undefined : JSON.parse(text);
		const answer = await world.state.handle(request.method ?? "GET", request.url ?? "/", body, "operator");
		response.writeHead(answer.status, { "content-type": "application/json" });
		response.end(JSON.stringify(answer.body));
	}).listen(0, "127.0.0.1");
	await once(server, "listening");
	const state = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	const config = join(mkdtempSync(join(tmpdir(), "ramphub-")), "settings.toml");
	writeFileSync(
		config,
		platformSettingsText({
			node: "runner-0",
			nodes: nodeNames,
			forwarding: false,
			nextLimitsAnnounced: false,
			state,
		}),
	);
	const main = fileURLToPath(new URL("../../src/main.js", import.meta.url));
	const quota = (...args: string[]) =>
		new Promise<{ code: number; out: string; err: string }>((resolve) =>
			execFile(process.execPath, [main, "quota", ...args, "--config", config], (error, out, err) =>
				resolve({ code: typeof error?.code === "number" ? error.code : 0, out, err }),
			),
		);
	try {
		const all = JSON.parse((await quota("show", "--json")).out) as { teams: ShownTeam[] };
		assert.deepEqual(
			all.teams.map(({ team, limit }) => [team, limit.cpus]),
			[
				["blue", 8],
				["guest", null],
				["red", 8],
			],
		);
		const set = await quota("set", "red", "--cpus", "9.5", "--guaranteed-cpus", "2");
		assert.deepEqual([set.code, set.out.split("\n")[0]?.includes("limit 9.5 CPUs")], [0, true]);
		assert.match((await quota("show", "red")).out, /revision 2/);
		const above = await quota("set", "red", "--guaranteed-cpus", "10");
		assert.deepEqual([above.code, /must not exceed the limit/.test(above.err)], [2, true]);
		assert.equal((await quota("show", "green")).code, 2);
		assert.equal((await quota("set", "red")).code, 2);
		assert.equal((await quota("set", "red", "--cpus", "-1")).code, 2);
		world.state.setOutage(true);
		const out = await quota("show");
		assert.deepEqual([out.code, /state service does not answer/.test(out.err)], [1, true]);
	} finally {
		server.close();
	}
});
