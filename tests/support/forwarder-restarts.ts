/** Plays restarts of a controller that forwards heartbeats, while the leader holds its responses to them. */

import { World } from "./world.js";
import { nodeNames } from "./world-settings.js";

/** Clusters of three and of five controllers. */
export const clusters = [nodeNames, [...nodeNames, "runner-3", "runner-4"]];

/** A restart of a forwarder, with the circumstances that decide who gets which response. */
export interface ForwarderRestart {
	nodes: string[];
	/** What workers see that wait for the process that ends: a reset connection, or none until they time out. */
	connections: "reset" | "hanging";
	/**
	 * `once`: the process ends soon after the leader has requested forwarding. `twice`: its successor ends too, soon
	 * after it has forwarded its first heartbeats.
	 */
	crashes: "once" | "twice";
	/** Delays the restart relative to the workers' heartbeats. */
	delayMs: number;
	/** Processes that exchange messages as a version up to 0.8.0 does; none by default. */
	unnamed?: ReadonlySet<RestartRole>;
}

/** The process that leads; the forwarder's processes up to the last restart; and the one after it. */
export type RestartRole = "leader" | "ended process" | "successor";

/** The world after a restart, and the machines whose heartbeats its two processes forwarded. */
export interface PlayedRestart {
	world: World;
	/** Machines whose responses the leader held when the process ended that forwarded their heartbeats. */
	heldForEndedProcess: Set<string>;
	/** Machines whose responses it held for the successor when the jobs arrived. */
	heldForSuccessor: Set<string>;
}

const zones = ["a", "b"];
const machinesPerController = 20;
const heartbeatIntervalS = 3;
/** From the default heartbeat rate on that this part of the machines has, all controllers forward heartbeats. */
const fractionBeforeForwarding = 0.825;
const forwardingHeartbeatsPerSecondPerCore = 500;
/** The machines boot in half a second, one after the other, so that their heartbeats come at different times. */
const bootTimeFactor = 0.1;
const creationIntervalMs = 97;
/** Responses to this many machines must be held for a process before the next step. */
const minHeldResponses = 3;
/** The leader holds the response to an idle machine for 1500 ms at this interval. */
const maxWaitForHeldMs = 1400;
const stepMs = 5;

/** Plays the restart. Then jobs of all zones arrive while responses to the ended process are still held. */
export async function playForwarderRestart(restart: ForwarderRestart): Promise<PlayedRestart> {
	const machines = machinesPerController * restart.nodes.length;
	const forwardingHeartbeatsPerSecond = (machines * fractionBeforeForwarding) / heartbeatIntervalS;
	const world = new World(machines, restart.nodes, true, false, {
		heartbeatIntervalS,
		coresPerController: forwardingHeartbeatsPerSecond / forwardingHeartbeatsPerSecondPerCore,
	});
	world.connectionsResetOnCrash = restart.connections === "reset";
	await world.time.advance(2000);
	const leader = world.leaderNode() as string;
	const forwarder = restart.nodes.find((node) => node !== leader) as string;
	const traffic = new ForwardedTraffic(world, leader, forwarder);
	const useVersion = (node: string, role: RestartRole) => {
		if (restart.unnamed?.has(role)) world.useUnnamedProcess(node);
	};
	useVersion(leader, "leader");
	useVersion(forwarder, "ended process");
	await createMachines(world, machines);
	await waitUntil(world, 10_000, () => traffic.held().size >= minHeldResponses);
	await world.time.advance(restart.delayMs);
	if (restart.crashes === "twice") {
		traffic.restartForwarder();
		useVersion(forwarder, "ended process");
		await waitUntil(world, maxWaitForHeldMs, () => traffic.held().size >= minHeldResponses);
	}
	const heldForEndedProcess = traffic.held();
	traffic.restartForwarder();
	useVersion(forwarder, "successor");
	await waitUntil(world, maxWaitForHeldMs, () => traffic.held().size >= minHeldResponses);
	const heldForSuccessor = traffic.held();
	await submitJobs(world, leader);
	await world.time.advance(8000);
	return { world, heldForEndedProcess, heldForSuccessor };
}

async function createMachines(world: World, machines: number): Promise<void> {
	world.cloud.bootTimeFactor = bootTimeFactor;
	for (let i = 0; i < machines; i += zones.length) {
		for (const hall of zones) {
			const hire = `machine-${hall}-${world.cloud.hosts.size}`;
			world.cloud.handle("POST", "/hosts", { hire, shape: "small", hall, loaners: true, count: 1 });
		}
		await world.time.advance(creationIntervalMs);
	}
}

type ForwardedRow = [requestId: number, heartbeat: [machineId: string]];
type ResponseRow = [requestId: number, commands: unknown];

/** Observes the heartbeats that the current process of a node has forwarded to the leader, and the responses. */
class ForwardedTraffic {
	private unanswered = new Map<number, string>();

	constructor(
		private readonly world: World,
		leader: string,
		private readonly forwarder: string,
	) {
		this.observe(leader, (from, message) => {
			const { kind, reports } = message as { kind: string; reports: ForwardedRow[] };
			if (from !== forwarder || kind !== "reports") return;
			for (const [requestId, [machineId]] of reports) this.unanswered.set(requestId, machineId);
		});
		this.observeResponses();
	}

	/** Machines for which the leader has not answered the current process. */
	held(): Set<string> {
		return new Set(this.unanswered.values());
	}

	restartForwarder(): void {
		this.world.restart(this.forwarder);
		this.unanswered = new Map();
		this.observeResponses();
	}

	private observeResponses(): void {
		const { unanswered } = this;
		this.observe(this.forwarder, (_from, message) => {
			const { kind, answers } = message as { kind: string; answers: ResponseRow[] };
			if (kind === "answers") for (const [requestId] of answers) unanswered.delete(requestId);
		});
	}

	private observe(node: string, observer: (from: string, message: unknown) => void): void {
		const controller = this.world.controllerOf(node);
		const receive = controller.receivePeerMessage.bind(controller);
		controller.receivePeerMessage = (from, message) => {
			observer(from, message);
			receive(from, message);
		};
	}
}

async function waitUntil(world: World, maxMs: number, condition: () => boolean): Promise<void> {
	for (let waitedMs = 0; waitedMs < maxMs && !condition(); waitedMs += stepMs)
		await world.time.advance(stepMs);
}

/** Submits a job for the machines of each zone; a start at a machine of the other zone is a violation. */
async function submitJobs(world: World, node: string): Promise<void> {
	const jobs = zones.map((hall, i) => ({
		id: `j-00000${i}`,
		pieces: 100,
		cores: 1,
		desk: "guest",
		hall,
		run_s: 30,
	}));
	await Promise.all(jobs.map((job) => world.submit(node, job)));
}
