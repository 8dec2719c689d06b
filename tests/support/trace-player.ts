import assert from "node:assert/strict";
import type { Expectation, Step, Trace } from "./trace.js";
import { World } from "./world.js";

/** Limits of the state service after `apply_lower_limits`. */
const reducedLimits = { valueBytes: 0.6 * 1024, operations: 4 };

/** Step fields that make network links fail until `clear_link_faults`. */
const linkFaults = ["isolate_from_workers", "drop_responses", "delay_zone"] as const;

/** The action of each field of a step. Fields of one step act in the order of this list. */
type Actions = {
	[Field in Exclude<keyof Step, "at" | "node">]-?: (
		value: NonNullable<Step[Field]>,
		step: Step,
	) => void | Promise<void>;
};

/** Configuration of the controllers in a trace. */
export interface TraceOptions {
	/** All controllers receive heartbeats and forward them to the leader. */
	forwarding: boolean;
	/** Teams' limits are divided among the controllers. */
	teamQuota: boolean;
}

/** Plays one trace in fake time while `World` checks its invariants. */
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
		this.world = new World(trace.cloud_capacity, this.nodes, options.forwarding, options.teamQuota);
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
		assert.ok(this.expectationCount > 0, "a trace needs at least one expectation");
		assert.ok(this.world.starts.size > 0, "no task was started");
	}

	private async playStep(step: Step): Promise<void> {
		const wait = step.at * 1000 - this.world.time.now();
		if (wait > 0) await this.world.time.advance(wait);
		for (const field of Object.keys(step))
			assert.ok(field === "at" || field === "node" || field in this.actions, `unknown step field: ${field}`);
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
			!step.clear_link_faults && (world.linkFaultsActive || linkFaults.some((key) => key in step));
	}

	/** Returns the controllers that a selector of a step names: a group, or one node by its name. */
	private selectNodes(selector: string): string[] {
		const { world, nodes } = this;
		const leader = world.leaderNode();
		const followers = nodes.filter((node) => node !== leader);
		switch (selector) {
			case "all":
				return nodes;
			case "not_isolated_from_workers":
				return nodes.filter((node) => !this.isolatedFromWorkers.includes(node));
			case "without_store":
				return [...world.state.unavailableTo];
			case "follower_with_store":
				return followers.filter((node) => !world.state.unavailableTo.has(node));
			case "two_followers":
				return followers.slice(0, 2);
			case "leader":
				return [leader ?? "no leader"];
			case "not_paused":
				return nodes.filter((node) => !this.pausedNodes.includes(node));
			case "one_follower":
				return followers.slice(0, 1);
			case "followers":
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
			const response = await this.world.submit(this.selectNodes(node)[0] as string, job);
			assert.equal(response.status, 201, `${job.id}: ${JSON.stringify(response.body)}`);
		},
		cancel: async (job, step) => {
			const node = this.selectNodes(step.node ?? "runner-1")[0] as string;
			assert.equal((await this.world.cancel(node, job)).status, 200);
		},
		crash: (selector) => this.forEachNode(selector, (node) => this.world.crash(node)),
		restart: (selector) => this.forEachNode(selector, (node) => this.world.start(node)),
		store_outage: (active) => this.world.state.setOutage(active),
		store_unavailable_to: (selector) =>
			this.forEachNode(selector, (node) => this.world.state.unavailableTo.add(node)),
		store_available_to: (selector) =>
			this.forEachNode(selector, (node) => this.world.state.unavailableTo.delete(node)),
		isolate_from_peers: (selector) =>
			this.forEachNode(selector, (node) => this.world.setPeerIsolation(node, true)),
		reconnect_to_peers: (selector) =>
			this.forEachNode(selector, (node) => this.world.setPeerIsolation(node, false)),
		pause_process: (selector) =>
			this.forEachNode(selector, (node) => {
				this.pausedNodes.push(node);
				this.world.pauseProcess(node);
			}),
		resume_processes: () => {
			for (const node of this.pausedNodes.splice(0)) this.world.resumeProcess(node);
		},
		hang_workers: (tasks) => {
			for (const task of tasks) this.world.workerOf(task).hang();
		},
		resume_workers: () => {
			for (const machine of this.machines) machine.resume();
		},
		delay_zone: ({ zone, delay_s }) => this.delayZone(zone, delay_s),
		partition_machine: (task) => {
			this.world.workerOf(task).partitioned = true;
		},
		partition_zone: (zone) => {
			for (const machine of this.machines) if (machine.zone === zone) machine.partitioned = true;
		},
		restore_machines: () => {
			for (const machine of this.machines)
				machine.partitioned =
					machine.inboundDropped =
					machine.heartbeatsDropped =
					machine.failsAllTasks =
						false;
		},
		drop_heartbeats: (tasks) => {
			for (const task of tasks) this.world.workerOf(task).heartbeatsDropped = true;
		},
		delay_transactions: ({ every, delay_s }) => {
			let sent = 0;
			this.world.network.transactionDelayMs = () =>
				every > 0 && ++sent % every === 0 ? delay_s * 1000 : null;
		},
		direct_command_delay_s: (seconds) => {
			this.world.network.directCommandDelayMs = seconds * 1000;
		},
		announce_lower_limits: () => {
			this.world.nextLimitsAnnounced = true;
		},
		apply_lower_limits: () => {
			this.world.state.limits = reducedLimits;
		},
		store_writes_per_s: (rate) => {
			this.world.state.writesPerS = rate;
		},
		store_delay_ms: (ms) => {
			this.world.network.storeDelayMs = ms;
		},
		drop_inbound: (tasks) => {
			for (const task of [tasks].flat()) this.world.workerOf(task).inboundDropped = true;
		},
		duplicate_heartbeats_after_s: (seconds) => {
			this.world.duplicateHeartbeatsAfterS = seconds;
		},
		terminate_machine: (task) => this.world.workerOf(task).terminate(),
		fail_tasks: (tasks) => {
			for (const task of [tasks].flat()) this.world.workerOf(task).failsAllTasks = true;
		},
		spot_reclaim: ({ task, in_s }) => {
			const worker = this.world.workerOf(task);
			worker.reclaimAt = this.world.time.now() + in_s * 1000;
			this.world.time.after(in_s * 1000, () => this.world.cloud.remove(worker.host));
		},
		cloud_outage: (active) => {
			this.world.cloud.outage = active;
		},
		boot_time_factor: (factor) => {
			this.world.cloud.bootTimeFactor = factor === "never" ? Number.POSITIVE_INFINITY : factor;
		},
		zone_without_capacity: (zone) => {
			this.world.cloud.zonesWithoutCapacity.add(zone);
		},
		isolate_from_workers: (selector) => this.isolateFromWorkers(selector),
		drop_responses: ({ to, path, method }) => {
			this.world.network.faultFor = (_from, target, m, p) =>
				(target === to || target.startsWith(to)) && p.startsWith(path) && (method ?? m) === m
					? { dropResponse: true }
					: {};
		},
		clear_link_faults: () => {
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
		for (const task of expected.running ?? [])
			assert.ok(world.isRunning(task), `${task} should run\n${tail()}`);
		for (const task of expected.not_running ?? [])
			assert.ok(!world.isRunning(task), `${task} should not run\n${tail()}`);
		for (const [task, count] of Object.entries(expected.starts ?? {}))
			assert.equal(world.starts.get(task)?.length ?? 0, count, `starts of ${task}\n${tail()}`);
		if (expected.leader) {
			const leader = world.leaderNode();
			assert.ok(leader !== null && this.selectNodes(expected.leader).includes(leader), `leader is ${leader}`);
		}
		if (expected.rental_requests !== undefined)
			assert.equal(world.cloud.rentalsByRequest.size, expected.rental_requests, tail());
		const { logged } = expected;
		if (logged !== undefined)
			assert.ok(
				world.logs.some((line) => line.includes(logged)),
				`${logged}\n${tail()}`,
			);
		if (expected.min_rate_limited !== undefined)
			assert.ok(world.state.rateLimitedCount >= expected.min_rate_limited, tail());
		if (expected.max_machines !== undefined)
			assert.ok(world.cloud.hosts.size <= expected.max_machines, tail());
	}

	private async checkJob(job: string, expected: Expectation, tail: () => string): Promise<void> {
		const node = expected.node ? (this.selectNodes(expected.node)[0] as string) : "runner-2";
		const response = await this.world.poll(node, job);
		assert.equal(response.status, expected.http_status ?? 200, tail());
		if (expected.status) assert.equal(response.body.status, expected.status, tail());
	}
}
