import assert from "node:assert/strict";
import { test } from "node:test";
import { jobCapacityBytes } from "../../src/coordination/jobs/job-capacity.js";
import { World } from "../support/world.js";
import { nodeNames } from "../support/world-settings.js";

/** Jobs of the test that fit at a time. */
const capacity = 3;

/** Largest number of tasks of a job. */
const taskCount = 100_000;

function jobAt(index: number) {
	return { id: `j-00000${index}`, pieces: taskCount, cores: 1, run_s: 100_000 };
}

/** Returns controllers whose heap has room for `capacity` of the jobs. */
async function smallWorld(): Promise<World> {
	const world = new World();
	await world.time.advance(2000);
	await world.submit("runner-0", jobAt(0));
	const jobBytes = world.controllerOf("runner-0").replica.liveJobBytes;
	world.heapLimitBytes = ((capacity + 0.5) * jobBytes) / jobCapacityBytes(1);
	for (const node of nodeNames) world.restart(node);
	await world.time.advance(20_000);
	return world;
}

const messageOfRefusal = "submissions refused: memory for jobs used up";

// Guards against accepting more jobs than the leader can load (review/2).
test("jobs beyond the bound of the heap get 503, are accepted once others have ended, and the next leader runs what was accepted", async () => {
	const world = await smallWorld();
	const statuses: number[] = [];
	for (let i = 1; i <= 4; i++)
		statuses.push((await world.submit(nodeNames[i % 3] as string, jobAt(i))).status);
	assert.deepEqual(statuses, [201, 201, 503, 503]);
	assert.equal(
		(await world.submit("runner-1", jobAt(1))).status,
		200,
		"an accepted job is answered as before",
	);
	assert.equal((await world.submit("runner-1", { ...jobAt(5), cores: 99 })).status, 422);
	assert.equal((await world.poll("runner-2", "j-000003")).status, 404, "a refused job is not accepted");
	assert.ok(world.logs.some((line) => line.includes(messageOfRefusal)));

	world.restart(world.leaderNode() as string);
	await world.time.advance(30_000);
	const leader = world.controllerOf(world.leaderNode() as string);
	assert.equal(leader.replica.jobs.size, capacity);
	assert.ok(world.runningTaskCount("j-000000") > 0, "accepted jobs run under the next leader");

	await world.cancel("runner-0", "j-000001");
	assert.equal((await world.submit("runner-1", jobAt(3))).status, 201, "a job that ended has made room");
	assert.deepEqual(world.violations, []);
});

test("simultaneous submissions to one controller do not exceed the bound", async () => {
	const world = await smallWorld();
	const submissions = [1, 2, 3, 4, 5].map((i) => world.submit("runner-1", jobAt(i)));
	const statuses = (await Promise.all(submissions)).map(({ status }) => status);
	assert.deepEqual(statuses.sort(), [201, 201, 503, 503, 503]);
});
