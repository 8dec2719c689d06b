import assert from "node:assert/strict";
import { describe, test } from "node:test";
import {
	type ActiveLeader,
	type HeartbeatResponse,
	HeartbeatRouter,
} from "../../../src/coordination/workers/heartbeat-router.js";
import type { Term } from "../../../src/protocol/model/identifiers.js";
import type { WorkerCommand } from "../../../src/protocol/model/worker.js";
import type { LeaderHeartbeat, PeerMessage } from "../../../src/protocol/peer/messages.js";
import { FakeTime } from "../../support/fake-time.js";
import { heartbeat } from "../../support/reconciliation-setup.js";
import { silentLog } from "../../support/silent-log.js";

const stop: WorkerCommand = { kind: "stop", jobId: "j-1", taskIndex: 0, attempt: 1, graceS: 0 };
const tryAnother: HeartbeatResponse = { kind: "redirect", node: null };

/** The router of `runner-0`. The test sets whether it leads and which node is in the leader key. */
class Setup {
	readonly clock = new FakeTime();
	readonly sent: PeerMessage[] = [];
	readonly misdirectedReports: [leader: string, term: Term][] = [];
	active: ActiveLeader | null = null;
	leaderInStore: string | null = null;
	readonly router = new HeartbeatRouter({
		node: "runner-0",
		incarnation: "router",
		peers: { send: (_to, message) => this.sent.push(message) },
		clock: this.clock,
		log: silentLog,
		activeLeader: () => this.active,
		leaderInStore: () => this.leaderInStore,
		reportMisdirectedWorkers: (leader, term) => this.misdirectedReports.push([leader, term]),
	});

	/** Makes this process the leader, which answers each heartbeat with these commands. */
	lead(term: number, commands: WorkerCommand[] | null, forwarder: string | null = null): void {
		const leader = { handleHeartbeat: async () => commands, forwarderFor: () => forwarder };
		this.active = { term, leader };
		this.router.startLeading(term);
	}

	/** Receives a leader heartbeat from the node, which is also in the leader key. */
	receiveLeaderHeartbeat(node: string, term: number, overrides: Partial<LeaderHeartbeat> = {}): void {
		this.leaderInStore = node;
		const message: LeaderHeartbeat = {
			kind: "leader-heartbeat",
			term,
			runningTasks: [],
			storeReachable: true,
			workersReachable: true,
			forwardHeartbeats: false,
			...overrides,
		};
		this.router.onLeaderMessage(node, message, this.clock.now());
	}

	handle(fencingToken = 0): Promise<HeartbeatResponse> {
		return this.router.handle(heartbeat(1, [], { fencingToken }));
	}

	/** Request ids of the forwarded heartbeats, in the order of sending. */
	get forwardedRequestIds(): number[] {
		return this.sent.flatMap((message) =>
			message.kind === "forwarded-heartbeats" ? message.heartbeats.map(({ requestId }) => requestId) : [],
		);
	}
}

describe("a heartbeat that reaches the leader", () => {
	test("is answered with the leader's commands under its fencing token", async () => {
		const setup = new Setup();
		setup.lead(7, [stop]);
		assert.deepEqual(await setup.handle(), { kind: "commands", fencingToken: 7, commands: [stop] });
	});

	test("is redirected if another controller is to forward the machine's heartbeats", async () => {
		const setup = new Setup();
		setup.lead(7, [stop], "runner-2");
		assert.deepEqual(await setup.handle(), { kind: "redirect", node: "runner-2" });
	});

	test("is refused if the leader may not answer, or if its authority ends while the response is held", async () => {
		const setup = new Setup();
		setup.lead(7, null);
		assert.deepEqual(await setup.handle(), tryAnother);
		setup.lead(7, [stop]);
		const response = setup.handle();
		setup.active = null;
		assert.deepEqual(await response, tryAnother);
	});
});

describe("a heartbeat that reaches a follower", () => {
	test("is redirected to the leader in the store if its last message is at most 1.2 s old", async () => {
		const setup = new Setup();
		assert.deepEqual(await setup.handle(), tryAnother, "there is no leader");
		setup.receiveLeaderHeartbeat("runner-1", 7);
		await setup.clock.advance(1200);
		assert.deepEqual(await setup.handle(), { kind: "redirect", node: "runner-1" });
		await setup.clock.advance(1);
		assert.deepEqual(await setup.handle(), tryAnother, "a worker would time out at a crashed leader");
	});

	test("is not redirected to a leader that has sent no message, or that reports that workers cannot reach it", async () => {
		const setup = new Setup();
		setup.receiveLeaderHeartbeat("runner-1", 7);
		setup.leaderInStore = "runner-2";
		assert.deepEqual(await setup.handle(), tryAnother);
		setup.receiveLeaderHeartbeat("runner-1", 7, { workersReachable: false });
		assert.deepEqual(await setup.handle(), tryAnother);
	});

	test("is not redirected to this node itself if it is still in the leader key", async () => {
		const setup = new Setup();
		setup.receiveLeaderHeartbeat("runner-0", 7);
		assert.deepEqual(await setup.handle(), tryAnother);
	});

	test("counts as misdirected for 6 s, and is reported at once to a leader that workers cannot reach", async () => {
		const setup = new Setup();
		setup.receiveLeaderHeartbeat("runner-1", 7);
		await setup.handle();
		assert.deepEqual([setup.router.countMisdirectedWorkers(), setup.misdirectedReports], [1, []]);
		setup.receiveLeaderHeartbeat("runner-1", 7, { workersReachable: false });
		await setup.handle();
		await setup.handle();
		assert.deepEqual(setup.misdirectedReports, [["runner-1", 7]], "at most ten times a second");
		await setup.clock.advance(100);
		await setup.handle();
		assert.equal(setup.misdirectedReports.length, 2);
		await setup.clock.advance(6000);
		assert.equal(setup.router.countMisdirectedWorkers(), 1);
		await setup.clock.advance(1);
		assert.equal(setup.router.countMisdirectedWorkers(), 0);
	});
});

describe("a heartbeat that reaches a follower of a leader that requests forwarding", () => {
	test("is forwarded, and answered with the leader's response", async () => {
		const setup = new Setup();
		setup.receiveLeaderHeartbeat("runner-1", 7, { forwardHeartbeats: true });
		const [first, second] = [setup.handle(), setup.handle()];
		await setup.clock.advance(100);
		const [firstId, secondId] = setup.forwardedRequestIds as [number, number];
		setup.router.handleForwardedResponses("runner-1", {
			kind: "forwarded-responses",
			term: 7,
			incarnation: "router",
			responses: [
				{ requestId: firstId, commands: [stop] },
				{ requestId: secondId, commands: null },
			],
		});
		assert.deepEqual(await first, { kind: "commands", fencingToken: 7, commands: [stop] });
		assert.deepEqual(await second, tryAnother);
		assert.equal(setup.router.countMisdirectedWorkers(), 0, "the leader requested forwarding");
	});

	test("is forwarded again to the next leader if the leader changes before it responds", async () => {
		const setup = new Setup();
		setup.receiveLeaderHeartbeat("runner-1", 7, { forwardHeartbeats: true });
		const response = setup.handle();
		await setup.clock.advance(100);
		setup.receiveLeaderHeartbeat("runner-2", 9, { forwardHeartbeats: true });
		await setup.clock.advance(100);
		const secondRequestId = setup.forwardedRequestIds[1] as number;
		setup.router.handleForwardedResponses("runner-2", {
			kind: "forwarded-responses",
			term: 9,
			incarnation: "router",
			responses: [{ requestId: secondRequestId, commands: [] }],
		});
		assert.deepEqual(await response, { kind: "commands", fencingToken: 9, commands: [] });
	});

	test("is not forwarded to a leader that has timed out, or whose term is before the worker's fencing token", async () => {
		const setup = new Setup();
		setup.receiveLeaderHeartbeat("runner-1", 7, { forwardHeartbeats: true });
		assert.deepEqual(await setup.handle(8), { kind: "redirect", node: "runner-1" });
		await setup.clock.advance(1201);
		assert.deepEqual(await setup.handle(), tryAnother);
		assert.deepEqual(setup.forwardedRequestIds, []);
	});

	test("is abandoned after a process pause", async () => {
		const setup = new Setup();
		setup.receiveLeaderHeartbeat("runner-1", 7, { forwardHeartbeats: true });
		const response = setup.handle();
		setup.router.onProcessPause();
		assert.deepEqual(await response, tryAnother);
	});
});

describe("a late copy of an earlier leader's message", () => {
	test("is ignored", async () => {
		const setup = new Setup();
		setup.receiveLeaderHeartbeat("runner-1", 7);
		setup.receiveLeaderHeartbeat("runner-2", 5);
		setup.leaderInStore = "runner-1";
		assert.deepEqual(await setup.handle(), { kind: "redirect", node: "runner-1" });
	});
});

describe("heartbeats that another controller forwards to the leader", () => {
	test("are answered in one message under the leader's term", async () => {
		const setup = new Setup();
		setup.lead(7, [stop]);
		const forwarded = [1, 2].map((requestId) => ({ requestId, heartbeat: heartbeat(requestId) }));
		setup.router.handleForwarded("runner-1", {
			kind: "forwarded-heartbeats",
			term: 7,
			incarnation: "forwarder",
			heartbeats: forwarded,
		});
		await setup.clock.advance(100);
		const responses = [1, 2].map((requestId) => ({ requestId, commands: [stop] }));
		assert.deepEqual(setup.sent, [
			{ kind: "forwarded-responses", term: 7, incarnation: "forwarder", responses },
		]);
	});

	test("are refused if they are for a term that this process does not lead", async () => {
		const setup = new Setup();
		setup.lead(7, [stop]);
		const forwarded = [{ requestId: 1, heartbeat: heartbeat(1) }];
		setup.router.handleForwarded("runner-1", {
			kind: "forwarded-heartbeats",
			term: 6,
			incarnation: "forwarder",
			heartbeats: forwarded,
		});
		await setup.clock.advance(100);
		const responses = [{ requestId: 1, commands: null }];
		assert.deepEqual(setup.sent, [
			{ kind: "forwarded-responses", term: 6, incarnation: "forwarder", responses },
		]);
	});

	// Its next process uses the same request ids, so the response could reach another worker (review/1).
	test("are refused, and change nothing, if the forwarding process is not named", async () => {
		const setup = new Setup();
		let handled = 0;
		const leader = {
			handleHeartbeat: async () => {
				handled += 1;
				return [stop];
			},
			forwarderFor: () => null,
		};
		setup.active = { term: 7, leader };
		setup.router.handleForwarded("runner-1", {
			kind: "forwarded-heartbeats",
			term: 7,
			heartbeats: [{ requestId: 1, heartbeat: heartbeat(1) }],
		});
		await setup.clock.advance(100);
		const responses = [{ requestId: 1, commands: null }];
		assert.deepEqual(setup.sent, [
			{ kind: "forwarded-responses", term: 7, incarnation: undefined, responses },
		]);
		assert.equal(handled, 0);
	});
});
