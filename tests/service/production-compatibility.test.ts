import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { MalformedMessageError } from "../../src/protocol/errors.js";
import { decodePeerMessage, encodePeerMessage } from "../../src/protocol/peer/codec.js";
import { type RecordedRun, recordRun } from "../support/recorded-run.js";
import { World } from "../support/world.js";
import { nodeNames } from "../support/world-settings.js";

/**
 * Versions in production whose stored values and messages are recorded in a fixture, each taken from a run of that
 * version by tests/support/record-fixture.ts: 0.4.0, from which the machines are upgraded, and 0.5.0, the first version
 * with service jobs.
 */
const versions = ["0.4.0", "0.5.0"];

function fixtureOf(version: string): RecordedRun {
	// Compiled tests run from target/tests/tests; fixtures stay in the source tree.
	const file = new URL(`../../../../tests/fixtures/production-${version}.json`, import.meta.url);
	return JSON.parse(readFileSync(file, "utf8")) as RecordedRun;
}

const keyPrefixOf = (key: string) => key.split("/").slice(0, 2).join("/");

/** Asserts that every field that the production version writes still exists and has the same type. */
function assertFieldsKept(old: unknown, now: unknown, path: string): void {
	if (Array.isArray(old)) {
		assert.ok(Array.isArray(now), path);
		if (old.length > 0 && now.length > 0) assertFieldsKept(old[0], now[0], `${path}.0`);
		return;
	}
	if (typeof old !== "object" || old === null) {
		if (old !== null && now !== null) assert.equal(typeof now, typeof old, path);
		return;
	}
	assert.ok(typeof now === "object" && now !== null, path);
	// The keys of maps from machine or page to entry differ between the runs, so one entry of each is compared.
	const keyedByName = path.endsWith(".entries");
	const pairs = keyedByName ? [[Object.values(old)[0], Object.values(now)[0], "*"] as const] : [];
	for (const [oldEntry, newEntry, name] of pairs) assertFieldsKept(oldEntry, newEntry, `${path}.${name}`);
	if (keyedByName) return;
	for (const [name, value] of Object.entries(old)) {
		assert.ok(name in now, `${path} lacks ${name}`);
		assertFieldsKept(value, (now as Record<string, unknown>)[name], `${path}.${name}`);
	}
}

for (const version of versions) {
	const fixture = fixtureOf(version);
	const hasServiceJob = fixture.rows.some(({ key }) => key === "r/job/j-000004");

	test(`records that ${version} stored are decoded: live and ended jobs, done tasks, machines that may run tasks`, async () => {
		const world = new World();
		for (const { key, v, stamp } of fixture.rows)
			if (key !== "r/one/leader") world.state.rows.set(key, { v, stamp });
		world.state.revision = 20;
		world.trackJob({ id: "j-000001", pieces: 3, cores: 1, run_s: 1000 });
		world.trackJob({ id: "j-000002", pieces: 1, cores: 1, desk: "blue" });
		world.trackJob({ id: "j-000003", pieces: 1, cores: 1, desk: "blue" });
		if (hasServiceJob)
			world.trackJob({ id: "j-000004", pieces: 2, cores: 1, desk: "blue", form: "standing" });
		await world.time.advance(3000);
		const machines = fixture.rows
			.filter(({ key }) => keyPrefixOf(key) === "r/machs")
			.flatMap(({ v }) => Object.keys((v as { entries: object }).entries));
		const jobs = hasServiceJob ? 2 : 1;
		const loaded = { term: 21, jobs, machines: machines.length, loadMs: 0, heapUsedMb: 0 };
		const failoverStartedLine = `failover started ${JSON.stringify(loaded)}`;
		assert.ok(
			world.logs.some((line) => line.includes(failoverStartedLine)),
			failoverStartedLine,
		);
		for (const node of nodeNames) {
			const { status, body } = await world.poll(node, "j-000001");
			assert.deepEqual([status, (body as { done?: number }).done], [200, 1]);
			assert.equal((await world.poll(node, "j-000002")).body.status, "cancelled");
		}
		await world.time.advance(25_000);
		assert.equal(world.starts.get("j-000001/0"), undefined, "task 0 is done according to its record");
		assert.ok(world.isRunning("j-000001/1") && world.isRunning("j-000001/2"));
		if (hasServiceJob) assert.ok(world.isRunning("j-000004/0") && world.isRunning("j-000004/1"));
		assert.deepEqual(
			world.violations.filter((line) => !line.startsWith("not_done: j-000003")),
			[],
		);
	});

	test(`stored values and messages have every field that ${version} has, and its messages are decoded`, async () => {
		const runWithoutForwarding = await recordRun(false, hasServiceJob);
		const runWithForwarding = await recordRun(true, hasServiceJob);
		const currentMessages = { ...runWithForwarding.messages, ...runWithoutForwarding.messages };
		for (const { key, v } of fixture.rows) {
			const currentRow = runWithoutForwarding.rows.find((row) =>
				key.startsWith("r/one") ? row.key === key : keyPrefixOf(row.key) === keyPrefixOf(key),
			);
			assert.ok(currentRow, key);
			assertFieldsKept(v, currentRow.v, key);
		}
		for (const [kind, message] of Object.entries(fixture.messages)) {
			assert.ok(currentMessages[kind], kind);
			assertFieldsKept(message, currentMessages[kind], kind);
			// Decoding and encoding preserve every name and value on the wire.
			assert.deepEqual(encodePeerMessage(decodePeerMessage(message)), message, kind);
		}
	});

	test(`late copies of all messages of ${version} to every controller cause no errors and do not affect a running task`, async () => {
		const world = new World();
		await world.time.advance(2000);
		await world.submit("runner-0", { id: "j-000001", pieces: 3, cores: 1, run_s: 60 });
		await world.time.advance(12_000);
		for (const message of Object.values(fixture.messages))
			for (const node of nodeNames) world.controllerOf(node).receivePeerMessage("runner-1", message);
		await world.time.advance(30_000);
		assert.deepEqual(
			world.logs.filter(
				(line) => line.includes("uncaught exception in the serial executor") || line.includes("malformed"),
			),
			[],
		);
		assert.ok(world.isRunning("j-000001/0"));
		assert.deepEqual(world.violations, []);
	});
}

/**
 * Fields of messages that were added after these versions, which ignore them. A message without them is decoded: see the
 * fixtures' messages above.
 */
const addedFields = ["answers.process", "pong.process", "reports.process"];

test("stored values and messages have only field names that a version in production has, and the added ones", async () => {
	const productionPaths = new Set(versions.flatMap((version) => fieldPathsOf(fixtureOf(version))));
	const currentPaths = [await recordRun(false), await recordRun(true)].flatMap(fieldPathsOf);
	const otherPaths = [...new Set(currentPaths)].filter((name) => !productionPaths.has(name));
	assert.deepEqual(otherPaths.sort(), addedFields);
});

/** Returns the paths of all fields by kind of value or message, with `*` for the names of machines, jobs and pages. */
function fieldPathsOf(run: RecordedRun): string[] {
	const paths: string[] = [];
	const walk = (value: unknown, parentPath: string): void => {
		if (typeof value !== "object" || value === null) return;
		for (const [field, inner] of Object.entries(value)) {
			const keyedByName =
				Array.isArray(value) || parentPath.endsWith(".entries") || parentPath.endsWith(".zones");
			const path = `${parentPath}.${keyedByName ? "*" : field}`;
			paths.push(path);
			walk(inner, path);
		}
	};
	for (const { key, v } of run.rows) walk(v, key.startsWith("r/one") ? key : keyPrefixOf(key));
	for (const [kind, message] of Object.entries(run.messages)) walk(message, kind);
	return paths;
}

test("a message of any kind is rejected if a required field is missing or any field has the wrong type", () => {
	const { messages } = fixtureOf("0.5.0");
	const optional = new Set(["standing", "known", "cancelled", "unknown"]);
	for (const [kind, message] of Object.entries(messages)) {
		const withLaterField = decodePeerMessage({ ...message, later: "a field of a later version" });
		assert.deepEqual(encodePeerMessage(withLaterField), message, kind);
		for (const field of Object.keys(message)) {
			const { [field]: _, ...without } = message;
			const assertRejected = (changed: unknown) =>
				assert.throws(() => decodePeerMessage(changed), MalformedMessageError, `${kind}.${field}`);
			if (!optional.has(field)) assertRejected(without);
			assertRejected({ ...message, [field]: { wrong: true } });
		}
	}
	for (const path of addedFields) {
		const [kind, field] = path.split(".") as [string, string];
		const wrongType = { ...messages[kind], [field]: { wrong: true } };
		assert.throws(() => decodePeerMessage(wrongType), MalformedMessageError, path);
	}
	for (const raw of [null, 1, "running", [], {}, { kind: "toString" }, { kind: "gossip", epoch: 1 }])
		assert.throws(() => decodePeerMessage(raw), MalformedMessageError);
});
