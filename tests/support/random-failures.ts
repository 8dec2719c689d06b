import { LateCopies, type LateCopiesOptions } from "./late-copies.js";
import type { LinkFault } from "./network.js";
import { Random } from "./random.js";
import type { FakeWorker } from "./worker.js";
import { World } from "./world.js";
import { nodeNames } from "./world-settings.js";

/** A seeded run of a cluster under random failures. */
export interface RandomRunOptions {
	seed: number;
	/** True if all controllers receive and forward heartbeats. */
	forwarding: boolean;
	teamQuota: boolean;
	/** Late copies of all messages; null: none. */
	lateCopies: LateCopiesOptions | null;
	/** True if one of the processes of a node that restarts exchanges messages as a version up to 0.8.0 does. */
	mixedVersions: boolean;
}

/** The world after a run, with what a test checks so that the run was no empty one. */
export interface RandomRun {
	world: World;
	copies: LateCopies | null;
	/** Number of cancellations that were confirmed. */
	cancellations: number;
}

const machineCapacity = 8;
const settleMs = 3000;
const failuresMs = 80_000;
/** Long enough for every lease, boot and late copy after the failures. */
const recoveryMs = 70_000;
const maxStepMs = 900;
const maxTaskS = 25;
const maxLinkDelayMs = 1600;
const delayedMessageShare = 0.4;
const lostMessageShare = 0.02;
const hangCheckMs = 50;
const leaderCheckMs = 5;
/** Part of the steps in which a job is submitted, and in which one is cancelled. */
const submissionShare = 0.3;
const cancellationShare = 0.12;
const failureShare = 0.6;

/** Plays random failures, submissions and cancellations, and then lets the cluster recover. */
export async function playRandomFailures(options: RandomRunOptions): Promise<RandomRun> {
	const player = new RandomFailures(options);
	await player.play();
	return player.run;
}

class RandomFailures {
	readonly run: RandomRun;
	private readonly world: World;
	private readonly random: Random;
	private readonly jobIds: string[] = [];
	private submissions = 0;

	constructor(private readonly options: RandomRunOptions) {
		this.random = new Random(options.seed);
		const world = new World(machineCapacity, nodeNames, options.forwarding, options.teamQuota);
		this.world = world;
		world.connectionsResetOnCrash = this.random.chance(0.5);
		const copies = options.lateCopies && new LateCopies(world.time, this.random, options.lateCopies);
		world.lateCopies = copies;
		this.run = { world, copies, cancellations: 0 };
	}

	async play(): Promise<void> {
		const { world, random } = this;
		await world.time.advance(settleMs);
		for (let i = 0; i < 3; i++) await this.submit();
		await world.time.advance(3 * settleMs);
		world.network.faultFor = (from, to, method) => this.linkFault(from, to, method);
		this.watchForNewLeader(0);
		const end = world.time.now() + failuresMs;
		while (world.time.now() < end) {
			if (random.chance(submissionShare)) await this.submit();
			if (random.chance(cancellationShare)) await this.cancel();
			if (random.chance(failureShare)) this.fail();
			await world.time.advance(random.between(50, maxStepMs));
		}
		world.network.faultFor = () => ({});
		for (const node of nodeNames) this.restoreNode(node);
		for (const worker of world.workers.values()) restoreWorker(worker);
		await world.time.advance(recoveryMs);
		if (this.run.copies) this.run.copies.active = false;
		await world.time.advance(settleMs);
	}

	/** Delivers the copies kept for the next leader as soon as a term begins, before the machines report to it. */
	private watchForNewLeader(latestTerm: number): void {
		const terms = nodeNames.map((node) => (this.world.isUp(node) ? this.world.termOf(node) : 0));
		const term = Math.max(latestTerm, ...terms);
		if (term > latestTerm && latestTerm > 0) this.run.copies?.newLeaderBegins();
		this.world.time.after(leaderCheckMs, () => this.watchForNewLeader(term));
	}

	/** Delays or loses some of the messages between workers and controllers, so that they cross each other. */
	private linkFault(from: string, to: string, method: string): LinkFault {
		const { world, random } = this;
		if (method !== "POST" || !(world.workers.has(from) || world.workers.has(to))) return {};
		if (random.chance(lostMessageShare))
			return random.chance(0.5) ? { dropRequest: true } : { dropResponse: true };
		const delay = () => (random.chance(delayedMessageShare) ? random.between(0, maxLinkDelayMs) : 0);
		return { delayMs: delay(), responseDelayMs: delay() };
	}

	private async submit(): Promise<void> {
		const { world, random } = this;
		this.submissions += 1;
		const id = `j-${String(this.submissions).padStart(6, "0")}`;
		const response = await world.submit(random.pick(nodeNames) as string, {
			id,
			pieces: random.between(1, 4),
			cores: random.between(1, 2),
			desk: random.pick(["red", "blue", "guest"]) as string,
			urgency: random.pick(["best_effort", "normal", "urgent", "critical"]) as string,
			run_s: random.chance(0.5) ? random.between(1, 3) : random.between(4, maxTaskS),
		});
		if (response.status !== 200 && response.status !== 201) return;
		this.jobIds.push(id);
	}

	private async cancel(): Promise<void> {
		const id = this.random.pick(this.jobIds);
		if (id === undefined) return;
		const { body } = await this.world.cancel(this.random.pick(nodeNames) as string, id);
		if (body.status === "cancelled") this.run.cancellations += 1;
	}

	// --- failures ---

	private readonly kinds: Record<string, () => void> = {
		"leader restarted": () => this.restart(this.world.leaderNode()),
		"controller restarted": () => this.restart(this.random.pick(nodeNames) ?? null),
		"all controllers restarted": () => {
			if (this.random.chance(0.3)) for (const node of nodeNames) this.restart(node);
		},
		"leader paused": () => this.pause(this.world.leaderNode()),
		"leader refused by the store": () => this.refuse(this.world.leaderNode()),
		"machine hangs": () => this.hang(this.random.between(100, 16_000)),
		"machine hangs again": () => this.hangTwice(),
		"machine isolated": () => this.isolate("partitioned", this.random.between(100, 14_000)),
		"responses lost": () => this.isolate("inboundDropped", this.random.between(100, 12_000)),
		"heartbeats lost": () => this.isolate("heartbeatsDropped", this.random.between(100, 12_000)),
		"machine reclaimed": () => this.reclaim(),
		"machine ends": () => {
			if (this.random.chance(0.3)) this.pickWorker()?.terminate();
		},
	};

	private fail(): void {
		const kind = this.random.pick(Object.keys(this.kinds)) as string;
		this.kinds[kind]?.();
	}

	/** Ends the process; its successor starts within a second, at times at once. */
	private restart(node: string | null): void {
		if (node === null) return;
		const { world, random } = this;
		world.crash(node);
		world.time.after(random.chance(0.3) ? 0 : random.between(1, 900), () => this.startNode(node));
	}

	private startNode(node: string): void {
		this.world.start(node);
		if (this.options.mixedVersions && this.random.chance(0.4)) this.world.useUnnamedProcess(node);
	}

	private pause(node: string | null): void {
		if (node === null) return;
		this.world.pauseProcess(node);
		this.world.time.after(this.random.between(100, 5000), () => this.world.resumeProcess(node));
	}

	private refuse(node: string | null): void {
		if (node === null) return;
		const { unavailableTo } = this.world.state;
		unavailableTo.add(node);
		this.world.time.after(this.random.between(100, 6000), () => unavailableTo.delete(node));
	}

	private hang(ms: number): void {
		const worker = this.pickWorker();
		if (worker) this.hangUntil(worker, this.world.time.now() + ms);
	}

	/**
	 * Makes the worker hang, at the longest until its lease has expired: the world counts the tasks of a hung worker as
	 * running until it resumes.
	 */
	private hangUntil(worker: FakeWorker, until: number): void {
		const { time } = this.world;
		worker.hang();
		const resumeWhenDue = () => {
			if (time.now() >= until || worker.leaseExpired) worker.resume();
			else time.after(hangCheckMs, resumeWhenDue);
		};
		time.after(hangCheckMs, resumeWhenDue);
	}

	/** The leader ends while a machine hangs; the machine goes on for a moment and hangs again within its lease. */
	private hangTwice(): void {
		const { world, random } = this;
		const worker = this.pickWorker();
		if (!worker) return;
		this.restart(world.leaderNode());
		const firstEndsAt = world.time.now() + random.between(1000, 7000);
		this.hangUntil(worker, firstEndsAt);
		const secondBeginsAfterMs = firstEndsAt - world.time.now() + random.between(50, 600);
		const secondEndsAt = firstEndsAt + random.between(8000, 12_000);
		world.time.after(secondBeginsAfterMs, () => this.hangUntil(worker, secondEndsAt));
	}

	private isolate(kind: "partitioned" | "inboundDropped" | "heartbeatsDropped", ms: number): void {
		const worker = this.pickWorker();
		if (!worker) return;
		worker[kind] = true;
		this.world.time.after(ms, () => {
			worker[kind] = false;
		});
	}

	/** Announces that the machine will be taken away; at times it is kept after all. */
	private reclaim(): void {
		const worker = this.pickWorker();
		if (!worker || worker.reclaimAt !== null) return;
		const { time, cloud } = this.world;
		const noticeMs = this.random.between(1500, 8000);
		worker.reclaimAt = time.now() + noticeMs;
		const withdrawn = this.random.chance(0.5);
		time.after(noticeMs, () => {
			if (withdrawn) worker.reclaimAt = null;
			else cloud.remove(worker.host);
		});
	}

	private pickWorker(): FakeWorker | undefined {
		return this.random.pick([...this.world.workers.values()].filter(({ terminated }) => !terminated));
	}

	// --- recovery ---

	private restoreNode(node: string): void {
		this.world.resumeProcess(node);
		this.world.start(node);
		this.world.state.unavailableTo.delete(node);
	}
}

function restoreWorker(worker: FakeWorker): void {
	worker.partitioned = worker.inboundDropped = worker.heartbeatsDropped = false;
	worker.resume();
}
