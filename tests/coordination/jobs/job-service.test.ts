import assert from "node:assert/strict";
import { test } from "node:test";
import { reasonImpossible } from "../../../src/coordination/jobs/job-service.js";
import type { JobSpec } from "../../../src/protocol/model/job.js";
import type { MachineType } from "../../../src/protocol/model/machine.js";
import { publicApi } from "../../../src/transport/public-api.js";
import { job, service } from "../../support/public-service.js";
import { silentLog } from "../../support/silent-log.js";
import { specOf } from "../../support/specs.js";
import { World } from "../../support/world.js";

test("a submission is judged by every demand together; a known one is answered whatever is in it", async () => {
	const type = (
		name: string,
		cpus: number,
		memoryGb: number,
		gpus: number,
		zones: string[],
	): MachineType => ({
		name,
		cpus,
		gpus,
		memoryGb,
		cacheGb: 50,
		fetchGbPerS: 1,
		price: 1,
		spotPrice: 1,
		bootS: 30,
		zones,
	});
	const types = [
		type("wide", 16, 32, 0, ["a"]),
		type("deep", 4, 128, 2, ["b"]),
		type("nowhere", 64, 512, 8, []),
	];
	const team = { name: "red", guaranteed: { cpus: 4, gpus: 0 }, limit: { cpus: 20, gpus: 4 } };
	const why = (more: Partial<JobSpec>) => reasonImpossible(specOf("j-1", { cpus: 2, ...more }), team, types);
	assert.equal(why({}), null);
	assert.equal(why({ cpus: 16, zone: "a" }), null);
	assert.match(
		why({ cpus: 16, memoryGb: 64 }) as string,
		/fits no allowed machine type/,
		"no one type has both",
	);
	assert.match(why({ cpus: 16, zone: "b" }) as string, /fits no/, "the type is not offered in the zone");
	assert.match(why({ gpus: 1, machineTypes: ["wide"] }) as string, /fits no/);
	assert.match(
		why({ machineTypes: ["nowhere"] }) as string,
		/fits no/,
		"a type offered in no zone can't be rented",
	);
	assert.match(why({ cpus: 21 }) as string, /more than the limit/);
	assert.match(reasonImpossible(specOf("j-1"), undefined, types) as string, /no team "red"/);
	// Its tasks run half by half in the one zone, so this array can run (trace 47 plays its like).
	assert.equal(why({ zone: "a", spreadZones: true, singleZone: true }), null);

	const app = publicApi(service, silentLog);
	const post = (body: unknown) => app.request("/v1/jobs", { method: "POST", body: JSON.stringify(body) });
	assert.equal((await post({ ...job, id: "j-2", pieces: 0 })).status, 400);
	const known = await post({ ...job, id: "j-1", pieces: 0 });
	assert.deepEqual([known.status, await known.json()], [200, { id: "j-1", status: "running" }]);

	const world = new World();
	await world.time.advance(2000);
	const small = { id: "j-000001", pieces: 1, cores: 1 };
	const noZone = await world.submit("runner-0", { ...small, hall: "z" });
	assert.equal(noZone.status, 400);
	assert.match(noZone.body.error as string, /"hall": there is no zone "z"/);
	assert.equal((await world.submit("runner-0", small)).status, 201);
	assert.equal((await world.submit("runner-1", { ...small, hall: "z" })).status, 200, "known, whatever else");
});
