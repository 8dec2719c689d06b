import { World } from "./world.js";
import { nodeNames } from "./world-settings.js";

export async function worldWithJob(tasks: number, capacity = 6): Promise<World> {
	const world = new World(capacity, nodeNames, false, true);
	await world.time.advance(2000);
	await world.submit("runner-0", { id: "j-000001", pieces: tasks, cores: 1, run_s: 400 });
	await world.time.advance(20_000);
	return world;
}
