import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { World } from "../../support/world.js";

describe("a submission with an unknown zone", () => {
	const job = { id: "j-000001", pieces: 1, cores: 1 };

	test("is rejected with status 400, unless the job was accepted earlier", async () => {
		const world = new World();
		await world.time.advance(2000);
		const refused = await world.submit("runner-0", { ...job, hall: "z" });
		assert.equal(refused.status, 400);
		assert.match(String(refused.body.error), /"hall": there is no zone "z"/);
		assert.equal((await world.submit("runner-0", job)).status, 201);
		const repeated = await world.submit("runner-1", { ...job, hall: "z" });
		assert.equal(
			repeated.status,
			200,
			"an accepted job is never refused, even if the other fields of the submission are invalid",
		);
	});
});
