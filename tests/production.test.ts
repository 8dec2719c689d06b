import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { parsePeerMessage } from "../src/protocol/peer.js";
import { nodeNames, World } from "./support/world.js";

/** Values and messages as version 0.4.0 wrote and sent them, taken from a run of it on these stand-ins. */
interface Fixture {
	rows: { key: string; v: unknown; stamp: number }[];
	messages: Record<string, Record<string, unknown>>;
}

// Compiled tests run from target/tests/tests; fixtures stay in the source tree.
const file = new URL("../../../tests/fixtures/production-0.4.0.json", import.meta.url);
const fixture = JSON.parse(readFileSync(file, "utf8")) as Fixture;

const kindOf = (key: string) => key.split("/").slice(0, 2).join("/");

/** Every field that production writes is there, and of the same type. */
function keepsFields(old: unknown, now: unknown, at: string): void {
	if (Array.isArray(old)) {
		assert.ok(Array.isArray(now), at);
		if (old.length > 0 && now.length > 0) keepsFields(old[0], now[0], `${at}.0`);
		return;
	}
	if (typeof old !== "object" || old === null) {
		if (old !== null && now !== null) assert.equal(typeof now, typeof old, at);
		return;
	}
	assert.ok(typeof now === "object" && now !== null, at);
	// Maps by name of machine or page have other names here.
	const byName = at.endsWith(".entries");
	const pairs = byName ? [[Object.values(old)[0], Object.values(now)[0], "*"] as const] : [];
	for (const [o, n, name] of pairs) keepsFields(o, n, `${at}.${name}`);
	if (byName) return;
	for (const [name, value] of Object.entries(old)) {
		assert.ok(name in now, `${at} lacks ${name}`);
		keepsFields(value, (now as Record<string, unknown>)[name], `${at}.${name}`);
	}
}

test("what production wrote is read: live and ended jobs, done tasks, machines that may hold tasks", async () => {
	const world = new World();
	for (const { key, v, stamp } of fixture.rows)
		if (key !== "r/one/leader") world.state.rows.set(key, { v, stamp });
	world.state.epoch = 20;
	world.expectJob({ id: "j-000001", pieces: 3, cores: 1, runs: 1000 });
	world.expectJob({ id: "j-000002", pieces: 1, cores: 1, desk: "blue" });
	world.expectJob({ id: "j-000003", pieces: 1, cores: 1, desk: "blue" });
	await world.time.advance(3000);
	assert.ok(
		world.logs.some((line) => line.includes('leading: rebuilding {"epoch":21,"jobs":1,"machines":1}')),
	);
	for (const node of nodeNames) {
		const { status, body } = await world.poll(node, "j-000001");
		assert.deepEqual([status, (body as { done?: number }).done], [200, 1]);
		assert.equal((await world.poll(node, "j-000002")).body.status, "cancelled");
	}
	await world.time.advance(25_000);
	assert.equal(world.starts.get("j-000001/0"), undefined, "its task 0 was done");
	assert.ok(world.running("j-000001/1") && world.running("j-000001/2"));
	assert.deepEqual(
		world.broken.filter((line) => !line.startsWith("not_done: j-000003")),
		[],
	);
});

test("what is written and said now has every field that production reads, and takes what production says", async () => {
	const world = new World();
	const said = new Map<string, unknown>();
	for (const node of nodeNames) {
		const controller = world.controllerOf(node);
		const hear = controller.peerMessage.bind(controller);
		controller.peerMessage = (from, message) => {
			said.set((message as { kind: string }).kind, message);
			hear(from, message);
		};
	}
	await world.time.advance(2000);
	await world.submit("runner-0", { id: "j-000001", pieces: 3, cores: 1, runs: [6, 300, 300] });
	await world.submit("runner-0", { id: "j-000002", pieces: 1, cores: 1, runs: 300, desk: "blue" });
	await world.time.advance(18_000);
	await world.abort("runner-1", "j-000002");
	await world.time.advance(3000);
	world.state.setOutage(true);
	await world.time.advance(2500);
	world.state.setOutage(false);
	await world.time.advance(1000);
	for (const { key, v } of fixture.rows) {
		const now = [...world.state.rows].find(([k]) =>
			key.startsWith("r/one") ? k === key : kindOf(k) === kindOf(key),
		);
		assert.ok(now, key);
		keepsFields(v, now[1].v, key);
	}
	for (const [kind, message] of Object.entries(fixture.messages)) {
		assert.ok(said.has(kind), kind);
		keepsFields(message, said.get(kind), kind);
		assert.equal(parsePeerMessage(message).kind, kind);
		for (const node of nodeNames) world.controllerOf(node).peerMessage("runner-1", message);
	}
	await world.time.advance(2000);
	assert.deepEqual(
		world.logs.filter((line) => line.includes("command failed")),
		[],
	);
	assert.deepEqual(world.broken, []);
});
