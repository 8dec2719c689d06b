import { World } from "./world.js";
import { nodeNames } from "./world-settings.js";

/** The stored values and peer messages of one run on the stand-ins, recorded as a fixture or compared with one. */
export interface RecordedRun {
	rows: { key: string; v: unknown; stamp: number }[];
	/** One message of each kind. */
	messages: Record<string, Record<string, unknown>>;
}

type Message = Record<string, unknown> & { kind: string };

/** Passes each peer message that the current processes of the nodes receive to `record` as well. */
function interceptPeerMessages(world: World, nodes: string[], record: (message: Message) => void): void {
	for (const node of nodes) {
		const controller = world.controllerOf(node);
		const receive = controller.receivePeerMessage.bind(controller);
		controller.receivePeerMessage = (from, message) => {
			record(message as Message);
			receive(from, message);
		};
	}
}

/** Keeps the longest message of each kind. */
function keepLargest(messages: Map<string, Message>, message: Message): void {
	const old = messages.get(message.kind);
	const size = (m: Message) => JSON.stringify(m).length;
	if (!old || size(message) > size(old)) messages.set(message.kind, message);
}

/**
 * Runs jobs that complete and jobs that are cancelled, a service job, a store outage with lease extension votes, and
 * controller restarts. This yields every kind of stored value and, with `forwarding`, every kind of peer message.
 */
export async function recordRun(forwarding: boolean, withServiceJob = true): Promise<RecordedRun> {
	const world = new World(4, nodeNames, forwarding);
	const messages = new Map<string, Message>();
	const record = (message: Message) => keepLargest(messages, message);
	interceptPeerMessages(world, nodeNames, record);
	await world.time.advance(2000);
	await world.submit("runner-0", { id: "j-000001", pieces: 3, cores: 1, run_s: [6, 300, 300] });
	await world.submit("runner-0", { id: "j-000002", pieces: 1, cores: 1, run_s: 300, desk: "blue" });
	await world.submit("runner-0", { id: "j-000003", pieces: 1, cores: 1, run_s: 3, desk: "blue" });
	if (withServiceJob) {
		await world.submit("runner-0", { id: "j-000004", pieces: 2, cores: 1, form: "standing", desk: "blue" });
	}
	await world.time.advance(20_000);
	// The leader cannot read this cancellation from the store, so that lease extension votes carry it.
	const leader = world.leaderNode() as string;
	world.state.unavailableTo.add(leader);
	await world.time.advance(300);
	await world.cancel(nodeNames.find((node) => node !== leader) as string, "j-000002");
	await world.time.advance(100);
	world.state.setOutage(true);
	await world.time.advance(2500);
	world.state.unavailableTo.clear();
	world.state.setOutage(false);
	await world.time.advance(2000);
	world.crash(leader);
	await world.time.advance(500);
	world.start(leader);
	interceptPeerMessages(world, [leader], record);
	await world.time.advance(500);
	if (world.violations.length > 0) throw new Error(world.violations.join("; "));
	return {
		rows: [...world.state.rows].map(([key, { v, stamp }]) => ({ key, v, stamp: Number(stamp) })),
		messages: Object.fromEntries(messages),
	};
}
