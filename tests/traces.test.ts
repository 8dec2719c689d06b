import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { test } from "node:test";
import { parse } from "yaml";
import { type JobBody, World } from "./support/world.js";

/** Kept traces: each file tells one story, is played in fake time and ends with what must hold. */
interface Step {
	at: number;
	submit?: JobBody & { node?: string };
	abort?: string;
	/** Where the cancellation is sent. */
	node?: string;
	crash?: string;
	restart?: string;
	/** Stands still, and goes on, while clocks run on. */
	freeze?: string;
	thaw?: string;
	/** Machines hang, by a task on each, and go on. */
	hang?: string[];
	go_on?: boolean;
	/** Reports, answers and direct orders of a zone's machines arrive so many seconds late. */
	hold_zone?: { zone: string; late_s: number };
	outage?: boolean;
	refuse?: string;
	serve?: string;
	/** Workers and these controllers do not reach each other. */
	cut_workers?: string;
	cut_peer?: string;
	join_peer?: string;
	cut?: string;
	/** No machine of the zone reaches a controller. */
	cut_zone?: string;
	heal?: string;
	/** The machine of each of these tasks hears nothing from now on. */
	deaf?: string | string[];
	/** These machines reach no controller, while direct orders reach them. */
	mute?: string[];
	/** Of the transactions sent from now on every n-th gets no answer and is carried out later; 0: none. */
	late_writes?: { every: number; late_s: number };
	/** Processes that start from now on know the state service's limits to come. */
	limits_told?: boolean;
	/** The limits come. */
	limits_come?: boolean;
	/** Direct orders are held up for so long. */
	late_orders_s?: number;
	/** Answers of the state service take so long. */
	slow_state_ms?: number;
	/** Every report arrives again after so many seconds. */
	copies?: number[];
	die?: string;
	/** The machines of these tasks fail whatever starts there, until all are healed. */
	sick?: string | string[];
	taken?: { piece: string; in_s: number };
	cloud_outage?: boolean;
	/** From now on nothing can be rented in this zone. */
	zone_full?: string;
	lose_answers?: { to: string; path: string; method?: string };
	no_faults?: boolean;
	expect?: Expectation;
}

interface Expectation {
	job?: string;
	status?: string;
	http?: number;
	node?: string;
	running?: string[];
	idle?: string[];
	starts?: Record<string, number>;
	leader?: string;
	machines_at_most?: number;
	/** Rental requests by different names that got machines. */
	rentals?: number;
}

interface Trace {
	title: string;
	guards: string;
	capacity?: number;
	controllers?: number;
	/** Played once more with reports received by all controllers. */
	relayed?: boolean;
	steps: Step[];
	/** Each is played by itself, with these steps among the others. */
	variants?: Record<string, Step[]>;
}

// Compiled tests run from target/tests/tests; traces stay in the source tree.
const folder = new URL("../../../tests/traces/", import.meta.url);

for (const file of readdirSync(folder).sort()) {
	const trace = parse(readFileSync(new URL(file, folder), "utf8")) as Trace;
	const stories = Object.entries(trace.variants ?? { "": [] });
	for (const [variant, more] of stories) {
		const steps = [...trace.steps, ...more].sort((a, b) => a.at - b.at);
		const name = variant === "" ? trace.title : `${trace.title}; ${variant}`;
		test(`${file}: ${name}`, () => play({ ...trace, steps }, false));
		if (!trace.relayed) continue;
		const relayed = `${file}${variant === "" ? "" : `: ${variant}`}, reports received by all controllers`;
		test(relayed, () => play({ ...trace, steps }, true));
	}
}

/** Steps that make links fail until `no_faults`. */
const linkFaults = ["cut_workers", "lose_answers", "hold_zone"] as const;

async function play(trace: Trace, relayed: boolean): Promise<void> {
	const nodes = Array.from({ length: trace.controllers ?? 3 }, (_, i) => `runner-${i}`);
	const world = new World(trace.capacity, nodes, relayed);
	let checks = 0;
	let cutFromWorkers: string[] = [];
	const frozen: string[] = [];
	const named = (who: string): string[] => {
		if (who === "all") return nodes;
		if (who === "others_of_cut") return nodes.filter((n) => !cutFromWorkers.includes(n));
		if (who === "refused") return [...world.state.refused];
		if (who === "other") return nodes.filter((n) => !world.state.refused.has(n) && n !== world.leaderNode());
		if (who === "two others") return nodes.filter((n) => n !== world.leaderNode()).slice(0, 2);
		if (who === "leader") return [world.leaderNode() ?? "nobody"];
		if (who === "not frozen") return nodes.filter((n) => !frozen.includes(n));
		if (who === "one other") return nodes.filter((n) => n !== world.leaderNode()).slice(0, 1);
		if (who === "others") return nodes.filter((n) => n !== world.leaderNode());
		return [who];
	};
	for (const step of trace.steps) {
		const wait = step.at * 1000 - world.time.now();
		if (wait > 0) await world.time.advance(wait);
		if (step.submit) {
			const { node = "runner-0", ...job } = step.submit;
			const answer = await world.submit(named(node)[0] as string, job);
			assert.equal(answer.status, 201, `${job.id}: ${JSON.stringify(answer.body)}`);
		}
		if (step.abort) {
			const node = named(step.node ?? "runner-1")[0] as string;
			assert.equal((await world.abort(node, step.abort)).status, 200);
		}
		for (const n of step.crash ? named(step.crash) : []) world.crash(n);
		for (const n of step.restart ? named(step.restart) : []) world.start(n);
		if (step.outage !== undefined) world.state.setOutage(step.outage);
		for (const n of step.refuse ? named(step.refuse) : []) world.state.refused.add(n);
		for (const n of step.serve ? named(step.serve) : []) world.state.refused.delete(n);
		for (const n of step.cut_peer ? named(step.cut_peer) : []) world.cutPeer(n, true);
		for (const n of step.join_peer ? named(step.join_peer) : []) world.cutPeer(n, false);
		for (const n of step.freeze ? named(step.freeze) : []) {
			frozen.push(n);
			world.freeze(n);
		}
		if (step.thaw) for (const n of frozen.splice(0)) world.thaw(n);
		for (const piece of step.hang ?? []) world.workerOf(piece).hang();
		if (step.go_on) for (const w of world.workers.values()) w.goOn();
		if (step.hold_zone) {
			const { zone, late_s } = step.hold_zone;
			const until = world.time.now() + late_s * 1000;
			const there = (host: string) => world.workers.get(host)?.hall === zone;
			world.network.fault = (from, to) =>
				there(from) || there(to) ? { delayMs: Math.max(0, until - world.time.now()) } : {};
		}
		if (step.cut) world.workerOf(step.cut).cut = true;
		for (const w of world.workers.values()) if (w.hall === step.cut_zone) w.cut = true;
		if (step.heal === "all") for (const w of world.workers.values()) w.cut = w.deaf = w.mute = w.sick = false;
		for (const piece of step.mute ?? []) world.workerOf(piece).mute = true;
		if (step.late_writes) {
			const { every, late_s } = step.late_writes;
			let n = 0;
			world.network.lateWrites = () => (every > 0 && ++n % every === 0 ? late_s * 1000 : null);
		}
		if (step.late_orders_s !== undefined) world.network.lateOrdersMs = step.late_orders_s * 1000;
		if (step.limits_told) world.nextKnown = true;
		if (step.limits_come) world.state.limits = { valueBytes: 0.6 * 1024, changes: 4 };
		if (step.slow_state_ms !== undefined) world.network.slowStateMs = step.slow_state_ms;
		for (const piece of [step.deaf ?? []].flat()) world.workerOf(piece).deaf = true;
		if (step.copies) world.copiesAfterS = step.copies;
		if (step.die) world.workerOf(step.die).die();
		for (const piece of [step.sick ?? []].flat()) world.workerOf(piece).sick = true;
		if (step.taken) {
			const worker = world.workerOf(step.taken.piece);
			worker.recallAt = world.time.now() + step.taken.in_s * 1000;
			world.time.after(step.taken.in_s * 1000, () => world.cloud.remove(worker.host));
		}
		if (step.cloud_outage !== undefined) world.cloud.outage = step.cloud_outage;
		if (step.zone_full) world.cloud.full.add(step.zone_full);
		if (step.cut_workers) {
			cutFromWorkers = named(step.cut_workers);
			const cut = (from: string, to: string) =>
				cutFromWorkers.some(
					(n) => (to === n && world.workers.has(from)) || (from.startsWith(`${n}#`) && world.workers.has(to)),
				);
			world.network.fault = (from, to) => (cut(from, to) ? { cut: true } : {});
		}
		if (step.lose_answers) {
			const { to, path, method } = step.lose_answers;
			world.network.fault = (_from, target, m, p) =>
				(target === to || target.startsWith(to)) && p.startsWith(path) && (method ?? m) === m
					? { loseAnswer: true }
					: {};
		}
		if (step.no_faults) world.network.fault = () => ({});
		world.troubled = !step.no_faults && (world.troubled || linkFaults.some((key) => key in step));
		if (step.expect) {
			checks += 1;
			await check(world, step.expect, named);
		}
	}
	await world.checkKnown();
	world.checkCancelled();
	assert.deepEqual(world.broken, [], world.logs.slice(-20).join("\n"));
	assert.ok(checks > 0, "a trace must expect something");
	assert.ok(world.starts.size > 0, "nothing ran");
}

async function check(world: World, e: Expectation, named: (who: string) => string[]): Promise<void> {
	const tail = () => world.logs.slice(-25).join("\n");
	if (e.job) {
		const answer = await world.poll(e.node ? (named(e.node)[0] as string) : "runner-2", e.job);
		assert.equal(answer.status, e.http ?? 200, tail());
		if (e.status) assert.equal(answer.body.status, e.status, tail());
	}
	for (const piece of e.running ?? []) assert.ok(world.running(piece), `${piece} should run\n${tail()}`);
	for (const piece of e.idle ?? []) assert.ok(!world.running(piece), `${piece} should not run\n${tail()}`);
	for (const [piece, n] of Object.entries(e.starts ?? {})) {
		assert.equal(world.starts.get(piece)?.length ?? 0, n, `starts of ${piece}\n${tail()}`);
	}
	if (e.leader) {
		const leader = world.leaderNode();
		assert.ok(leader !== null && named(e.leader).includes(leader), `leader is ${leader}`);
	}
	if (e.rentals !== undefined) assert.equal(world.cloud.requests.size, e.rentals, tail());
	if (e.machines_at_most !== undefined) assert.ok(world.cloud.hosts.size <= e.machines_at_most, tail());
}
