import assert from "node:assert/strict";
import type { Expectation, Step, Trace } from "./trace.js";
import { World } from "./world.js";

/** Limits of the state service in traces where they become lower. */
const reducedLimits = { valueBytes: 0.6 * 1024, operations: 4 };

/** Steps that make links fail until `no_faults`. */
const linkFaults = ["cut_workers", "lose_answers", "hold_zone"] as const;

/** What each field of a step does. Fields of one step act in the order of the player's list. */
type Actions = {
	[Field in Exclude<keyof Step, "at" | "node">]-?: (
		value: NonNullable<Step[Field]>,
		step: Step,
	) => void | Promise<void>;
};

/** How the controllers of a trace are set up. */
export interface TraceOptions {
	/** All controllers receive heartbeats and forward them to the leader. */
	forwarding: boolean;
	/** Teams' limits are divided among the controllers. */
	teamQuota: boolean;
}

/** Plays one trace in fake time, with the rules watched all along. */
export class TracePlayer {
	private readonly nodes: string[];
	private readonly world: World;
	private readonly pausedNodes: string[] = [];
	private isolatedFromWorkers: string[] = [];
	private expectationCount = 0;

	constructor(
		private readonly trace: Trace,
		options: TraceOptions,
	) {
		this.nodes = Array.from({ length: trace.controllers ?? 3 }, (_, i) => `runner-${i}`);
		this.world = new World(trace.capacity, this.nodes, options.forwarding, options.teamQuota);
	}

	async play(): Promise<void> {
		for (const step of this.trace.steps) await this.playStep(step);
		await this.world.checkAllJobsFound();
		this.world.checkCancelled();
		assert.deepEqual(this.world.violations, [], this.world.logs.slice(-20).join("\n"));
		const chargeMismatch =
			/ (charged amount differs from running tasks|allotment holder is charged more than its allotment) /;
		assert.deepEqual(
			this.world.logs.filter((line) => chargeMismatch.test(line)),
			[],
		);
		assert.ok(this.expectationCount > 0, "a trace must expect something");
		assert.ok(this.world.starts.size > 0, "nothing ran");
	}

	private async playStep(step: Step): Promise<void> {
		const wait = step.at * 1000 - this.world.time.now();
		if (wait > 0) await this.world.time.advance(wait);
		for (const field of Object.keys(step))
			assert.ok(field === "at" || field === "node" || field in this.actions, `no such step: ${field}`);
		for (const [field, act] of Object.entries(this.actions)) {
			const value = step[field as keyof Step];
			if (value === undefined) continue;
			if (field === "expect") this.recordLinkFaults(step);
			await (act as (value: unknown, step: Step) => void | Promise<void>)(value, step);
		}
		this.recordLinkFaults(step);
	}

	private recordLinkFaults(step: Step): void {
		const { world } = this;
		world.linkFaultsActive =
			!step.no_faults && (world.linkFaultsActive || linkFaults.some((key) => key in step));
	}

	/** Nodes by the name that a step gives them. */
	private selectNodes(selector: string): string[] {
		const { world, nodes } = this;
		const leader = world.leaderNode();
		const followers = nodes.filter((node) => node !== leader);
		switch (selector) {
			case "all":
				return nodes;
			case "others_of_cut":
				return nodes.filter((node) => !this.isolatedFromWorkers.includes(node));
			case "refused":
				return [...world.state.unavailableTo];
			case "other":
				return followers.filter((node) => !world.state.unavailableTo.has(node));
			case "two others":
				return followers.slice(0, 2);
			case "leader":
				return [leader ?? "nobody"];
			case "not frozen":
				return nodes.filter((node) => !this.pausedNodes.includes(node));
			case "one other":
				return followers.slice(0, 1);
			case "others":
				return followers;
			default:
				return [selector];
		}
	}

	private forEachNode(selector: string, act: (node: string) => void): void {
		for (const node of this.selectNodes(selector)) act(node);
	}

	private get machines() {
		return [...this.world.workers.values()];
	}

	private readonly actions: Actions = {
		submit: async ({ node = "runner-0", ...job }) => {
			const answer = await this.world.submit(this.selectNodes(node)[0] as string, job);
			assert.equal(answer.status, 201, `${job.id}: ${JSON.stringify(answer.body)}`);
		},
		abort: async (job, step) => {
			const node = this.selectNodes(step.node ?? "runner-1")[0] as string;
			assert.equal((await this.world.cancel(node, job)).status, 200);
		},
		crash: (who) => this.forEachNode(who, (node) => this.world.crash(node)),
		restart: (who) => this.forEachNode(who, (node) => this.world.start(node)),
		outage: (on) => this.world.state.setOutage(on),
		refuse: (who) => this.forEachNode(who, (node) => this.world.state.unavailableTo.add(node)),
		serve: (who) => this.forEachNode(who, (node) => this.world.state.unavailableTo.delete(node)),
		cut_peer: (who) => this.forEachNode(who, (node) => this.world.setPeerIsolation(node, true)),
		join_peer: (who) => this.forEachNode(who, (node) => this.world.setPeerIsolation(node, false)),
		freeze: (who) =>
			this.forEachNode(who, (node) => {
				this.pausedNodes.push(node);
				this.world.pauseProcess(node);
			}),
		thaw: () => {
			for (const node of this.pausedNodes.splice(0)) this.world.resumeProcess(node);
		},
		hang: (pieces) => {
			for (const piece of pieces) this.world.workerOf(piece).hang();
		},
		go_on: () => {
			for (const machine of this.machines) machine.resume();
		},
		hold_zone: ({ zone, late_s }) => this.delayZone(zone, late_s),
		cut: (piece) => {
			this.world.workerOf(piece).partitioned = true;
		},
		cut_zone: (zone) => {
			for (const machine of this.machines) if (machine.zone === zone) machine.partitioned = true;
		},
		heal: () => {
			for (const machine of this.machines)
				machine.partitioned =
					machine.inboundDropped =
					machine.heartbeatsDropped =
					machine.failsAllTasks =
						false;
		},
		mute: (pieces) => {
			for (const piece of pieces) this.world.workerOf(piece).heartbeatsDropped = true;
		},
		late_writes: ({ every, late_s }) => {
			let n = 0;
			this.world.network.transactionDelayMs = () => (every > 0 && ++n % every === 0 ? late_s * 1000 : null);
		},
		late_orders_s: (seconds) => {
			this.world.network.directCommandDelayMs = seconds * 1000;
		},
		limits_told: () => {
			this.world.nextLimitsAnnounced = true;
		},
		limits_come: () => {
			this.world.state.limits = reducedLimits;
		},
		writes_per_s: (rate) => {
			this.world.state.writesPerS = rate;
		},
		slow_state_ms: (ms) => {
			this.world.network.storeDelayMs = ms;
		},
		deaf: (pieces) => {
			for (const piece of [pieces].flat()) this.world.workerOf(piece).inboundDropped = true;
		},
		copies: (seconds) => {
			this.world.duplicateHeartbeatsAfterS = seconds;
		},
		die: (piece) => this.world.workerOf(piece).terminate(),
		sick: (pieces) => {
			for (const piece of [pieces].flat()) this.world.workerOf(piece).failsAllTasks = true;
		},
		taken: ({ piece, in_s }) => {
			const worker = this.world.workerOf(piece);
			worker.reclaimAt = this.world.time.now() + in_s * 1000;
			this.world.time.after(in_s * 1000, () => this.world.cloud.remove(worker.host));
		},
		cloud_outage: (on) => {
			this.world.cloud.outage = on;
		},
		boot_times: (times) => {
			this.world.cloud.bootTimeFactor = times === "never" ? Number.POSITIVE_INFINITY : times;
		},
		zone_full: (zone) => {
			this.world.cloud.zonesWithoutCapacity.add(zone);
		},
		cut_workers: (who) => this.isolateFromWorkers(who),
		lose_answers: ({ to, path, method }) => {
			this.world.network.faultFor = (_from, target, m, p) =>
				(target === to || target.startsWith(to)) && p.startsWith(path) && (method ?? m) === m
					? { dropResponse: true }
					: {};
		},
		no_faults: () => {
			this.world.network.faultFor = () => ({});
		},
		expect: async (expectation) => {
			this.expectationCount += 1;
			await this.check(expectation);
		},
	};

	private delayZone(zone: string, delayS: number): void {
		const { world } = this;
		const until = world.time.now() + delayS * 1000;
		const inZone = (host: string) => world.workers.get(host)?.zone === zone;
		world.network.faultFor = (from, to) =>
			inZone(from) || inZone(to) ? { delayMs: Math.max(0, until - world.time.now()) } : {};
	}

	private isolateFromWorkers(selector: string): void {
		const { world } = this;
		const nodes = this.selectNodes(selector);
		this.isolatedFromWorkers = nodes;
		const isIsolated = (from: string, to: string) =>
			nodes.some(
				(node) =>
					(to === node && world.workers.has(from)) || (from.startsWith(`${node}#`) && world.workers.has(to)),
			);
		world.network.faultFor = (from, to) => (isIsolated(from, to) ? { dropRequest: true } : {});
	}

	private async check(expected: Expectation): Promise<void> {
		const { world } = this;
		const tail = () => world.logs.slice(-25).join("\n");
		if (expected.job) await this.checkJob(expected.job, expected, tail);
		for (const piece of expected.running ?? [])
			assert.ok(world.isRunning(piece), `${piece} should run\n${tail()}`);
		for (const piece of expected.idle ?? [])
			assert.ok(!world.isRunning(piece), `${piece} should not run\n${tail()}`);
		for (const [piece, n] of Object.entries(expected.starts ?? {}))
			assert.equal(world.starts.get(piece)?.length ?? 0, n, `starts of ${piece}\n${tail()}`);
		if (expected.leader) {
			const leader = world.leaderNode();
			assert.ok(leader !== null && this.selectNodes(expected.leader).includes(leader), `leader is ${leader}`);
		}
		if (expected.rentals !== undefined)
			assert.equal(world.cloud.rentalsByRequest.size, expected.rentals, tail());
		const { said } = expected;
		if (said !== undefined)
			assert.ok(
				world.logs.some((line) => line.includes(said)),
				`${said}\n${tail()}`,
			);
		if (expected.refused_for_rate !== undefined)
			assert.ok(world.state.rateLimitedCount >= expected.refused_for_rate, tail());
		if (expected.machines_at_most !== undefined)
			assert.ok(world.cloud.hosts.size <= expected.machines_at_most, tail());
	}

	private async checkJob(job: string, expected: Expectation, tail: () => string): Promise<void> {
		const node = expected.node ? (this.selectNodes(expected.node)[0] as string) : "runner-2";
		const response = await this.world.poll(node, job);
		assert.equal(response.status, expected.http ?? 200, tail());
		if (expected.status) assert.equal(response.body.status, expected.status, tail());
	}
}
