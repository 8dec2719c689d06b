import assert from "node:assert/strict";
import { test } from "node:test";
import { keys } from "../src/bookkeeping/records.js";
import { Replica } from "../src/bookkeeping/replica.js";
import { applyReport, ordersFor } from "../src/coordination/reports.js";
import { Tables } from "../src/coordination/tables.js";
import type { ReportedTask, WorkerReport } from "../src/protocol/model.js";
import { specOf } from "./support/specs.js";

const type = {
	name: "small",
	cpus: 8,
	gpus: 0,
	memoryGb: 32,
	cacheGb: 50,
	fetchGbPerS: 1,
	price: 1,
	spotPrice: 1,
	bootS: 30,
	zones: ["a"],
};
const spec = specOf("j-1", { cpus: 1 });
const epoch = 41;

function fresh() {
	const tables = new Tables(
		epoch,
		[{ name: "red", cpus: 8, cpus_max: 8, gpus: 0, gpus_max: 0 }],
		new Map([["small", type]]),
	);
	const job = tables.addJob("j-1", spec, 0, 1);
	job.fillWaiting();
	return { tables, job };
}

function report(seq: number, tasks: ReportedTask[] = [], more: Partial<WorkerReport> = {}): WorkerReport {
	return {
		machine: "n-1",
		endpoint: "n-1:9000",
		type: "small",
		zone: "a",
		spot: true,
		session: 1,
		seq,
		token: epoch,
		noticeS: null,
		tasks,
		...more,
	};
}

function task(
	index: number,
	attempt: number,
	state: ReportedTask["state"],
	cause: ReportedTask["cause"] = null,
) {
	return { job: "j-1", index, attempt, state, cause, saved: false };
}

/** A machine that has reported, with one start sent to it. */
function withOneSent() {
	const { tables, job } = fresh();
	applyReport(tables, report(1), 0);
	const machine = tables.machines.get("n-1");
	assert.ok(machine);
	machine.durable = true;
	const attempt = tables.decide(job, machine);
	assert.ok(attempt);
	const orders = ordersFor(tables, machine);
	assert.deepEqual(orders, [{ op: "start", job: "j-1", index: 0, attempt: attempt.number }]);
	return { tables, job, machine, attempt };
}

test("no start goes to a machine before its record is durable and it has seen the token", () => {
	const { tables, job } = fresh();
	applyReport(tables, report(1, [], { token: epoch - 1 }), 0);
	const machine = tables.machines.get("n-1");
	assert.ok(machine);
	machine.durable = true;
	assert.equal(tables.decide(job, machine), null, "its answers of an earlier leader may still be on the way");
	applyReport(tables, report(2), 0);
	machine.durable = false;
	assert.equal(tables.decide(job, machine), null, "a later leader would not know of it");
	machine.durable = true;
	assert.notEqual(tables.decide(job, machine), null);
});

test("a start whose answer was lost is sent again with the same number", () => {
	const { tables, machine, attempt } = withOneSent();
	applyReport(tables, report(2), 100);
	const orders = ordersFor(tables, machine);
	assert.deepEqual(orders, [{ op: "start", job: "j-1", index: 0, attempt: attempt.number }]);
});

test("an old report changes nothing", () => {
	const { tables, machine, attempt } = withOneSent();
	applyReport(tables, report(5, [task(0, attempt.number, "running")]), 100);
	assert.equal(applyReport(tables, report(4), 200).kind, "old");
	assert.equal(machine.attempts.size, 1);
	assert.equal(attempt.phase, "running");
});

test("a task that a newer report lacks is over and waits again", () => {
	const { tables, job, attempt } = withOneSent();
	applyReport(tables, report(2, [task(0, attempt.number, "running")]), 100);
	const applied = applyReport(tables, report(3), 200);
	assert.equal(applied.kind === "applied" && applied.vanished.length, 1);
	assert.ok(job.waiting.includes(0));
	assert.equal(tables.quotas.use("red").cpus, 0);
});

test("a report with an earlier token adds tasks but proves no absence", () => {
	const { tables, job } = fresh();
	applyReport(tables, report(3, [task(2, 900, "running")], { token: 7 }), 0);
	assert.equal(job.attempts.get(2)?.number, 900);
	applyReport(tables, report(4, [], { token: 7 }), 10);
	assert.equal(job.attempts.get(2)?.number, 900, "an answer of the leader before may come after this report");
	assert.equal(tables.quotas.use("red").cpus, 1);
	applyReport(tables, report(5), 20);
	assert.equal(job.attempts.has(2), false);
});

test("a later session ends all tasks of the one before; a report of an expired lease is refused", () => {
	const { tables, job, machine, attempt } = withOneSent();
	applyReport(tables, report(2, [task(0, attempt.number, "running")]), 100);
	applyReport(tables, report(1, [], { session: 2 }), 200);
	assert.equal(job.attempts.size, 0);
	tables.expire(machine);
	assert.equal(applyReport(tables, report(9, [], { session: 2 }), 300).kind, "expired");
	assert.equal(applyReport(tables, report(1, [], { session: 3 }), 300).kind, "applied");
});

test("a completed task is forgotten only when its completion is durable", () => {
	const { tables, job, machine, attempt } = withOneSent();
	applyReport(tables, report(2, [task(0, attempt.number, "exited", "done")]), 100);
	assert.ok(job.done.has(0));
	machine.marked = true;
	assert.deepEqual(ordersFor(tables, machine), [], "a takeover now would lose it");
	machine.marked = false;
	job.durable.add(0);
	assert.deepEqual(ordersFor(tables, machine), [], "the last one is kept as a handle");
	assert.equal(machine.handle?.attempt, attempt.number);
	machine.marked = true;
	const forget = { op: "forget", job: "j-1", index: 0, attempt: attempt.number };
	assert.deepEqual(ordersFor(tables, machine), [forget]);
});

test("tasks nobody wants are stopped: of unknown jobs, done already, or on another machine", () => {
	const { tables, job } = withOneSent();
	tables.markDone(job, 1);
	const other = report(
		1,
		[task(0, 900, "running"), task(1, 901, "running"), { ...task(0, 902, "running"), job: "j-9" }],
		{
			machine: "n-2",
		},
	);
	applyReport(tables, other, 0);
	const machine = tables.machines.get("n-2");
	assert.ok(machine);
	assert.deepEqual(
		ordersFor(tables, machine).map((o) => [o.op, o.attempt]),
		[
			["stop", 900],
			["stop", 901],
			["stop", 902],
		],
	);
});

test("the end of a job withdraws what is not sent and stops the rest until it is over", () => {
	const { tables, job, machine, attempt } = withOneSent();
	const second = tables.decide(job, machine);
	assert.ok(second);
	const still = tables.endJob(job);
	assert.deepEqual(still, [attempt]);
	assert.equal(tables.quotas.use("red").cpus, 1, "what was sent still counts");
	applyReport(tables, report(2, [task(0, attempt.number, "running")]), 100);
	assert.equal(ordersFor(tables, machine)[0]?.op, "stop");
	applyReport(tables, report(3, [task(0, attempt.number, "exited", "stopped")]), 200);
	assert.equal(tables.quotas.use("red").cpus, 0);
});

test("answers of overlapping watches never bring back what has ended", () => {
	const replica = new Replica();
	const record = { spec, at: 0 };
	replica.reset([], 5);
	const put = { key: keys.job("j-1"), value: record, revision: 6 };
	const drop = { key: keys.job("j-1"), value: undefined, revision: 8 };
	const final = { key: keys.final("j-1"), value: { status: "done", tasks: 4, done: 4 }, revision: 8 };
	replica.apply([put, drop, final], 8);
	replica.apply([put], 7);
	assert.equal(replica.jobs.has("j-1"), false);
	assert.equal(replica.finals.get("j-1")?.status, "done");
	assert.equal(replica.epoch, 8);
	replica.applyOwn(keys.job("j-1"), record, 6);
	assert.equal(replica.jobs.has("j-1"), false);
});
