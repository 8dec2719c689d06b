import assert from "node:assert/strict";
import { test } from "node:test";
import { World } from "../support/world.js";

const errorsOf = (world: World, message: string) => world.logs.filter((line) => line.includes(message));

test("malformed messages from a controller are dropped, said once for each kind, and the service goes on", async () => {
	const world = new World();
	await world.time.advance(2000);
	await world.submit("runner-0", { id: "j-000001", pieces: 2, cores: 1, runs: 30 });
	for (let i = 0; i < 5; i++) {
		for (const node of ["runner-0", "runner-1", "runner-2"]) {
			const controller = world.controllerOf(node);
			controller.peerMessage("runner-1", { kind: "running", epoch: 1, counts: "none" });
			controller.peerMessage("runner-1", { kind: "view", epoch: 1, cycle: 1, start: 0, machines: [{}] });
			controller.peerMessage("runner-1", { kind: "reports", epoch: 1, reports: [[1, ["n-000000"]]] });
			controller.peerMessage("runner-1", { kind: "gossip", epoch: 1 });
			controller.peerMessage("runner-1", null);
		}
		await world.time.advance(1000);
	}
	await world.time.advance(60_000);
	assert.equal((await world.poll("runner-2", "j-000001")).body.status, "done");
	assert.equal(errorsOf(world, "malformed message from a controller").length, 3 * 5);
	assert.deepEqual(errorsOf(world, "state action failed"), []);
	assert.deepEqual(world.broken, []);
});

test("a job whose record cannot be read is answered 503, never 404, and the others are served", async () => {
	const world = new World();
	await world.time.advance(2000);
	await world.submit("runner-0", { id: "j-000001", pieces: 1, cores: 1, runs: 30 });
	// Such as one of a later version, with a form that this one does not know.
	const { spec } = (world.state.rows.get("r/job/j-000001") as { v: { spec: object } }).v;
	const later = { spec: { ...spec, id: "j-000002", form: "ensemble" }, at: 0 };
	world.state.write("r/job/j-000002", later);
	await world.time.advance(70_000);
	for (const node of ["runner-0", "runner-1", "runner-2"]) {
		assert.equal((await world.request(node, "/v1/jobs/j-000002")).status, 503);
		assert.equal((await world.request(node, "/v1/jobs/j-000002/abort", { method: "POST" })).status, 503);
		assert.equal((await world.poll(node, "j-000001")).body.status, "done");
	}
	const said = errorsOf(world, "malformed value in the store");
	assert.equal(said.length, 3, "once by each controller");
	assert.ok(said.every((line) => line.includes('"key":"r/job/j-000002"')));
	assert.deepEqual(errorsOf(world, "replica differs from the store"), []);
	assert.deepEqual(world.state.rows.get("r/job/j-000002")?.v, later, "it is left as it is");
});

test("where the machines that may hold tasks cannot be read, nothing starts before every lease has run out", async () => {
	const world = new World();
	world.state.write("r/machs/1-1", { entries: { "n-000099": "of another form" } });
	await world.time.advance(2000);
	await world.submit("runner-0", { id: "j-000001", pieces: 1, cores: 1, runs: 60 });
	await world.time.advance(7000);
	assert.equal(world.running("j-000001/0"), false, "a machine of which nothing is known may still run it");
	await world.time.advance(14_000);
	assert.equal(world.running("j-000001/0"), true);
});

test("a leader's key that cannot be read is not taken over while it is there", async () => {
	const world = new World();
	world.state.write("r/one/leader", "somebody");
	await world.time.advance(10_000);
	assert.deepEqual(errorsOf(world, "leadership acquired"), []);
	assert.deepEqual(world.state.rows.get("r/one/leader")?.v, "somebody");
	world.state.remove("r/one/leader");
	await world.time.advance(6000);
	assert.equal(errorsOf(world, "leadership acquired").length, 1);
});
