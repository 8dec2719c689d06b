import assert from "node:assert/strict";
import { test } from "node:test";
import { World } from "../support/world.js";

const logLinesWith = (world: World, message: string) => world.logs.filter((line) => line.includes(message));

test("malformed messages from a controller are dropped and logged once per kind, and jobs still complete", async () => {
	const world = new World();
	await world.time.advance(2000);
	await world.submit("runner-0", { id: "j-000001", pieces: 2, cores: 1, run_s: 30 });
	for (let i = 0; i < 5; i++) {
		for (const node of ["runner-0", "runner-1", "runner-2"]) {
			const controller = world.controllerOf(node);
			controller.receivePeerMessage("runner-1", { kind: "running", epoch: 1, counts: "none" });
			controller.receivePeerMessage("runner-1", {
				kind: "view",
				epoch: 1,
				cycle: 1,
				start: 0,
				machines: [{}],
			});
			controller.receivePeerMessage("runner-1", { kind: "reports", epoch: 1, reports: [[1, ["n-000000"]]] });
			controller.receivePeerMessage("runner-1", { kind: "gossip", epoch: 1 });
			controller.receivePeerMessage("runner-1", null);
		}
		await world.time.advance(1000);
	}
	await world.time.advance(60_000);
	assert.equal((await world.poll("runner-2", "j-000001")).body.status, "done");
	assert.equal(logLinesWith(world, "malformed message from a controller").length, 3 * 5);
	assert.deepEqual(logLinesWith(world, "uncaught exception in the serial executor"), []);
	assert.deepEqual(world.violations, []);
});

test("requests for a job whose record cannot be decoded are answered 503, not 404, and other jobs are unaffected", async () => {
	const world = new World();
	await world.time.advance(2000);
	await world.submit("runner-0", { id: "j-000001", pieces: 1, cores: 1, run_s: 30 });
	// A record of a later version, with a job form that this version does not support.
	const { spec } = (world.state.rows.get("r/job/j-000001") as { v: { spec: object } }).v;
	const laterRecord = { spec: { ...spec, id: "j-000002", form: "ensemble" }, at: 0 };
	world.state.write("r/job/j-000002", laterRecord);
	await world.time.advance(70_000);
	for (const node of ["runner-0", "runner-1", "runner-2"]) {
		assert.equal((await world.request(node, "/v1/jobs/j-000002")).status, 503);
		assert.equal((await world.request(node, "/v1/jobs/j-000002/abort", { method: "POST" })).status, 503);
		assert.equal((await world.poll(node, "j-000001")).body.status, "done");
	}
	const malformedValueLines = logLinesWith(world, "malformed value in the store");
	assert.equal(malformedValueLines.length, 3, "logged once by each controller");
	assert.ok(malformedValueLines.every((line) => line.includes('"key":"r/job/j-000002"')));
	assert.deepEqual(logLinesWith(world, "replica differs from the store"), []);
	assert.deepEqual(world.state.rows.get("r/job/j-000002")?.v, laterRecord, "the record is not changed");
});

test("if machine records cannot be decoded, no task starts before every worker lease has expired", async () => {
	const world = new World();
	world.state.write("r/machs/1-1", { entries: { "n-000099": "of another form" } });
	await world.time.advance(2000);
	await world.submit("runner-0", { id: "j-000001", pieces: 1, cores: 1, run_s: 60 });
	await world.time.advance(7000);
	assert.equal(
		world.isRunning("j-000001/0"),
		false,
		"a machine whose record cannot be decoded may still run it",
	);
	await world.time.advance(14_000);
	assert.equal(world.isRunning("j-000001/0"), true);
});

test("no controller becomes leader while the store holds a leader key that cannot be decoded", async () => {
	const world = new World();
	world.state.write("r/one/leader", "somebody");
	await world.time.advance(10_000);
	assert.deepEqual(logLinesWith(world, "leadership acquired"), []);
	assert.deepEqual(world.state.rows.get("r/one/leader")?.v, "somebody");
	world.state.remove("r/one/leader");
	await world.time.advance(6000);
	assert.equal(logLinesWith(world, "leadership acquired").length, 1);
});
