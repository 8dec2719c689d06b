import assert from "node:assert/strict";
import { test } from "node:test";
import { keys } from "../src/bookkeeping/records.js";
import { Replica } from "../src/bookkeeping/replica.js";
import { applyReport, ordersFor } from "../src/coordination/reports.js";
import { Tables } from "../src/coordination/tables.js";
import type { Demand, ReportedTask, WorkerReport } from "../src/protocol/model.js";
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
		12_000,
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

test("a machine marked to drain between a decision and its report still gets the start", () => {
	const { tables, job } = fresh();
	applyReport(tables, report(1), 0);
	const machine = tables.machines.get("n-1");
	assert.ok(machine);
	machine.durable = true;
	tables.decide(job, machine);
	machine.marked = true;
	assert.equal(ordersFor(tables, machine).length, 1);
	assert.equal(tables.decide(job, machine), null, "nothing new is decided for it");
	machine.marked = false;
	tables.decide(job, machine);
	machine.faulty = true;
	assert.deepEqual(ordersFor(tables, machine), [], "on one set aside for failing nothing starts");
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

test("tasks that ended under an earlier leader are counted, and their job is named so that it can end", () => {
	const { tables, job } = fresh();
	const ended = Array.from({ length: job.spec.tasks }, (_, i) => task(i, 7, "exited", "done"));
	const applied = applyReport(tables, report(1, ended), 0);
	assert.ok(applied.kind === "applied");
	assert.ok(job.done.full);
	assert.deepEqual([...applied.progressed], [job]);
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

test("tasks of a job that is over take their team's cores until gone; of one unknown, nothing starts meanwhile", () => {
	const known = new Map<string, Demand>();
	const teams = [{ name: "red", cpus: 8, cpus_max: 8, gpus: 0, gpus_max: 0 }];
	const types = new Map([["small", type]]);
	const tables = new Tables(epoch, teams, types, 12_000, (id) => known.get(id) ?? null);
	const job = tables.addJob("j-1", spec, 0, 1);
	job.fillWaiting();
	const gone = (index: number) => ({ ...task(index, 7, "running"), job: "j-9" });
	applyReport(tables, report(1, [gone(0), gone(1)]), 0);
	const machine = tables.machines.get("n-1");
	assert.ok(machine);
	machine.durable = true;
	assert.deepEqual([...tables.strangeJobs()], ["j-9"]);
	assert.equal(tables.decide(job, machine), null, "whose cores they take is not known");
	known.set("j-9", { team: "red", cpus: 4, gpus: 0 });
	tables.resolveStrange("j-9");
	assert.equal(tables.quotas.use("red").cpus, 8);
	assert.equal(tables.decide(job, machine), null, "they fill the limit");
	applyReport(tables, report(2, [gone(1)]), 500);
	assert.equal(tables.quotas.use("red").cpus, 4);
	assert.notEqual(tables.decide(job, machine), null);
	tables.expire(machine);
	assert.equal(tables.quotas.use("red").cpus, 0);
	assert.ok(tables.rebuilt);
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

test("one lost answer changes nothing; after two in a row nothing more is sent until its lease has held", () => {
	const { tables, job, machine, attempt } = withOneSent();
	applyReport(tables, report(2), 1000);
	assert.equal(machine.deafAt, null);
	assert.equal(ordersFor(tables, machine).length, 1);
	applyReport(tables, report(3), 2000);
	assert.equal(machine.deafAt, 2000);
	assert.equal(job.attempts.has(0), false, "a start that no report lists can no longer be carried out");
	assert.ok(job.waiting.includes(attempt.index));
	assert.equal(tables.decide(job, machine), null);
	applyReport(tables, report(4), 2000 + tables.certainMs);
	assert.notEqual(machine.deafAt, null);
	applyReport(tables, report(5), 2000 + 1.6 * tables.certainMs);
	assert.equal(machine.deafAt, null);
	assert.notEqual(tables.decide(job, machine), null);
});

test("a start that is listed after one lost answer counts as heard", () => {
	const { tables, machine, attempt } = withOneSent();
	applyReport(tables, report(2), 1000);
	ordersFor(tables, machine);
	applyReport(tables, report(3, [task(0, attempt.number, "running")]), 2000);
	assert.equal(machine.lostAnswers, 0);
});

test("a lease that runs out although it was answered all the time shows a machine that hears nothing", () => {
	const { tables, machine } = withOneSent();
	machine.answeredAt = 20_000;
	applyReport(tables, report(1, [], { session: 2 }), 21_000);
	assert.equal(machine.deafAt, null, "the last answer may have come too late");
	machine.answeredAt = 33_000;
	applyReport(tables, report(1, [], { session: 3 }), 34_000);
	assert.equal(machine.deafAt, 34_000);
	const silent = withOneSent();
	silent.machine.answeredAt = 0;
	applyReport(silent.tables, report(1, [], { session: 2 }), 21_000);
	assert.equal(silent.machine.lostAnswers, 0, "it was cut off both ways");
});

test("answers to a machine that never takes up the token renew nothing", () => {
	const { tables, job } = fresh();
	const old = { token: epoch - 1 };
	applyReport(tables, report(1, [task(0, 900, "running")], old), 0);
	const machine = tables.machines.get("n-1");
	assert.ok(machine);
	tables.hide(machine);
	for (let at = 3000; at < tables.certainMs; at += 3000) {
		machine.answeredAt = at;
		assert.equal(applyReport(tables, report(1 + at, [], old), at).kind, "applied");
		assert.equal(job.attempts.size, 1);
		assert.equal(tables.rebuilt, false);
	}
	assert.equal(applyReport(tables, report(99_999, [], old), tables.certainMs + 1).kind, "expired");
	assert.equal(job.attempts.size, 0);
	assert.equal(tables.rebuilt, true);
});

test("a late copy that lists an earlier attempt yields to the later one", () => {
	const { tables, job } = fresh();
	applyReport(tables, report(7, [task(0, 900, "running")], { token: 7 }), 0);
	const real = report(1, [task(0, 905, "running")], { machine: "n-2", token: 7 });
	applyReport(tables, real, 10);
	assert.equal(job.attempts.get(0)?.number, 905, "it was decided when the one before was proved over");
	assert.equal(tables.quotas.use("red").cpus, 1);
	const n2 = tables.machines.get("n-2");
	assert.ok(n2);
	assert.deepEqual(ordersFor(tables, n2), []);
	applyReport(tables, report(9, [task(0, 900, "running")], { token: 7 }), 20);
	assert.equal(job.attempts.get(0)?.number, 905);
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
	// Made anew from rows that were read before the job ended.
	replica.reset([{ key: keys.job("j-1"), value: record, revision: 6 }], 7);
	assert.equal(replica.jobs.has("j-1"), false);
});
