import assert from "node:assert/strict";
import { test } from "node:test";
import { type Amount, limitAmount, unlimited, zeroAmount } from "../src/amount.js";
import { setQuota, showQuotas } from "../src/commands.js";
import type { AllotmentUpdate } from "../src/holder-messages.js";
import type { AllotmentManager } from "../src/manager.js";
import { QuotaParticipant } from "../src/quota-participant.js";
import type { LimitAndGuarantee } from "../src/record.js";
import { ControlledStore, runAndSettle } from "./support/controlled-store.js";

const oneCpu: Amount = { cpus: 1000, gpus: 0 };
const unlimitedAmount: Amount = { cpus: unlimited, gpus: unlimited };
const expiryMs = 1000;
const afterExpiryMs = 1100;

/** A leader `a` and holders, with a clock and a store that the test controls. */
class TestCluster {
	now = 0;
	readonly store = new ControlledStore();
	readonly infoMessages: string[] = [];
	readonly errorMessages: string[] = [];
	readonly errorFields: object[] = [];
	private startedProcesses = 0;

	constructor(
		readonly teams: Map<string, LimitAndGuarantee> = new Map([
			["red", { limit: limitAmount(4, 0), guarantee: limitAmount(2, 0) }],
		]),
		readonly nodes = ["a", "b", "c"],
	) {}

	startProcess(node: string): QuotaParticipant {
		this.startedProcesses += 1;
		const participant = new QuotaParticipant({
			node,
			incarnation: `p${this.startedProcesses}`,
			nodes: this.nodes,
			teams: this.teams,
			settings: { expiryMs, marginMs: 20, movePauseMs: 0 },
			keyPrefix: "quota/",
			maxValueBytes: 13_000,
			maxChangesPerTransaction: 12,
			store: this.store,
			now: () => this.now,
			date: () => this.now,
			post: (command) => command(),
			log: {
				info: (_fields, message) => this.infoMessages.push(message),
				error: (fields, message) => {
					this.errorMessages.push(message);
					this.errorFields.push(fields);
				},
			},
		});
		for (const [key, row] of this.store.rowsByKey)
			if (key !== "leader") participant.applyStoredValue(key, row.value, row.revision);
		return participant;
	}

	/** Delivers the manager's message to the holder and the holder's reply to the manager. */
	exchangeMessages(
		leader: QuotaParticipant,
		manager: AllotmentManager,
		node: string,
		holder: QuotaParticipant,
		term: number,
	): void {
		const update = manager.nextUpdate(node);
		if (update) holder.applyAllotmentUpdate(term, update);
		leader.handleReply(node, holder.reply());
	}

	async runTicks(manager: AllotmentManager, count = 6): Promise<void> {
		for (let i = 0; i < count; i++) {
			this.now += 100;
			await runAndSettle(() => manager.tick());
		}
	}

	/** Starts a leader that allots the whole limit of red to the holder `b`. */
	async allotAllTo(
		holder: QuotaParticipant,
		term = 1,
	): Promise<{ leader: QuotaParticipant; manager: AllotmentManager }> {
		const leader = this.startProcess("a");
		const manager = leader.beginTerm({ key: "leader", revision: term });
		manager.start();
		leader.handleReply("b", holder.reply());
		manager.setPreferredHolder("b", "red");
		manager.setRequestedAmount("b", "red", unlimitedAmount);
		for (let i = 0; i < 8; i++) {
			this.exchangeMessages(leader, manager, "b", holder, term);
			await this.runTicks(manager, 2);
		}
		this.exchangeMessages(leader, manager, "b", holder, term);
		return { leader, manager };
	}
}

test("a holder whose allotment is being revoked admits nothing, even if it replies again before the write is done", async () => {
	const cluster = new TestCluster();
	const holder = cluster.startProcess("b");
	const { leader, manager } = await cluster.allotAllTo(holder);
	assert.equal(holder.admit("red", oneCpu).kind, "admitted");
	cluster.store.answersImmediately = false;
	cluster.now += afterExpiryMs;
	await cluster.runTicks(manager, 1);
	assert.equal(cluster.store.writes.length > 0, true);
	// The holder replies again: the leader's message extends its validity, but must not contain the revoked
	// amount.
	leader.handleReply("b", holder.reply());
	holder.applyAllotmentUpdate(1, manager.nextUpdate("b") as AllotmentUpdate);
	assert.ok(holder.validUntil > cluster.now, "its validity is extended");
	assert.equal(holder.admit("red", oneCpu).kind, "refused");
	assert.equal(manager.mayStart("b", "red", oneCpu), false, "an earlier admission does not start either");
	// The write gets no answer and may be executed late: the holder gets nothing before the record has been
	// read again.
	const unansweredWrite = cluster.store.writes.at(-1);
	await unansweredWrite?.failWithoutAnswer();
	leader.handleReply("b", holder.reply());
	holder.applyAllotmentUpdate(1, manager.nextUpdate("b") as AllotmentUpdate);
	assert.equal(holder.admit("red", oneCpu).kind, "refused");
});

test("a write conflicts if the leader's key or the stored value has changed since it was prepared", async () => {
	const cluster = new TestCluster();
	const holder = cluster.startProcess("b");
	const { manager } = await cluster.allotAllTo(holder);
	const { store } = cluster;
	store.answersImmediately = false;
	manager.setPreferredHolder("a", "red");
	manager.setRequestedAmount("a", "red", unlimitedAmount);
	await cluster.runTicks(manager, 1);
	const write = store.writes.at(-1);
	store.rowsByKey.set("leader", { value: "b", revision: 99 });
	assert.deepEqual(write?.apply(), { kind: "conflict", keys: ["leader"] });
	store.rowsByKey.set("leader", { value: "a", revision: 1 });
	store.answersImmediately = true;
	await setQuota(store, "quota/", "red", { cpus: 9 }, 0);
	assert.deepEqual(write?.apply(), { kind: "conflict", keys: ["quota/0"] });
	assert.equal((await showQuotas(store, "quota/", "red")).teams[0]?.limit.cpus, 9);
});

test("a new leader allots nothing that a holder without a message of the new term may still be using", async () => {
	const cluster = new TestCluster();
	const unresponsive = cluster.startProcess("c");
	const holder = cluster.startProcess("b");
	const { leader, manager } = await cluster.allotAllTo(holder);
	// Half of the limit moves to c, which then sends no more replies.
	leader.handleReply("c", unresponsive.reply());
	manager.setRequestedAmount("b", "red", oneCpu);
	manager.setRequestedAmount("c", "red", { cpus: 2000, gpus: 0 });
	for (let i = 0; i < 8; i++) {
		cluster.exchangeMessages(leader, manager, "b", holder, 1);
		cluster.exchangeMessages(leader, manager, "c", unresponsive, 1);
		await cluster.runTicks(manager, 1);
	}
	assert.equal(holder.admit("red", oneCpu, 2).kind, "admitted");
	// The next leader finds b's two tasks and charges them to the node with the most unused allotment; c may
	// still admit two.
	const next = cluster.startProcess("a");
	const nextManager = next.beginTerm({ key: "leader", revision: 2 });
	for (let i = 0; i < 2; i++) nextManager.chargeUnattributed("red", oneCpu);
	nextManager.start();
	next.handleReply("b", holder.reply());
	for (let i = 0; i < 3; i++) cluster.exchangeMessages(next, nextManager, "b", holder, 2);
	assert.equal(
		unresponsive.admit("red", oneCpu, 2).kind,
		"admitted",
		"by its allotment of the previous term",
	);
	const further = holder.admit("red", oneCpu, 4);
	const total = 2 + 2 + (further.kind === "admitted" ? further.count : 0);
	assert.ok(total <= 4, `${total} of 4`);
});

test("if a holder is charged more than its allotment, other holders leave the same amount unused", async () => {
	const cluster = new TestCluster();
	const holder = cluster.startProcess("b");
	const { manager } = await cluster.allotAllTo(holder);
	const other = manager.charges.add("red", "c", { cpus: 3000, gpus: 0 });
	cluster.now += 10;
	holder.applyAllotmentUpdate(1, manager.nextUpdate("b") as AllotmentUpdate);
	manager.charges.release(manager.charges.add("red", "b", oneCpu));
	holder.applyAllotmentUpdate(1, manager.nextUpdate("b") as AllotmentUpdate);
	const admission = holder.admit("red", oneCpu, 4);
	assert.deepEqual(admission, { kind: "admitted", count: 1 });
	manager.charges.release(other);
});

test("a holder without an allotment gets one for the tasks that are charged to it", async () => {
	const cluster = new TestCluster();
	const holder = cluster.startProcess("b");
	const { leader, manager } = await cluster.allotAllTo(holder);
	manager.charges.add("red", "a", { cpus: 3000, gpus: 0 });
	for (let i = 0; i < 6; i++) {
		cluster.exchangeMessages(leader, manager, "b", holder, 1);
		await cluster.runTicks(manager, 1);
	}
	const { teams } = await showQuotas(cluster.store, "quota/", "red");
	assert.deepEqual(
		teams[0]?.allotments.map(({ node, amount }) => [node, amount.cpus]),
		[
			["a", 3],
			["b", 1],
		],
	);
});

test("a process that was leader does not use the allotments that it held before its term", async () => {
	const cluster = new TestCluster();
	const holder = cluster.startProcess("b");
	await cluster.allotAllTo(holder);
	assert.equal(holder.admit("red", oneCpu).kind, "admitted");
	holder.beginTerm({ key: "leader", revision: 2 });
	holder.endTerm();
	assert.deepEqual(holder.admit("red", oneCpu).kind, "refused");
});

test("late messages of an ended process, of an earlier leader, and with an old number are ignored", async () => {
	const cluster = new TestCluster();
	const ended = cluster.startProcess("b");
	const { leader, manager } = await cluster.allotAllTo(ended);
	const late = ended.reply();
	const old = manager.nextUpdate("b") as AllotmentUpdate;
	const restarted = cluster.startProcess("b");
	for (let i = 0; i < 6; i++) {
		cluster.exchangeMessages(leader, manager, "b", restarted, 1);
		await cluster.runTicks(manager, 2);
	}
	assert.equal(
		restarted.admit("red", oneCpu, 9).kind,
		"admitted",
		"the new process holds the node's allotment",
	);
	leader.handleReply("b", late);
	assert.equal(manager.mayStart("b", "red", oneCpu), true);
	restarted.applyAllotmentUpdate(1, old);
	const generous = { team: "red", cap: unlimitedAmount, charged: zeroAmount, free: unlimitedAmount };
	restarted.applyAllotmentUpdate(0, { ...old, incarnation: "p3", number: 999, teams: [generous] });
	assert.deepEqual(
		restarted.admit("red", oneCpu, 9).kind,
		"refused",
		"its own admissions use the whole limit",
	);
	assert.equal(cluster.infoMessages.includes("allotments replaced after the holder process ended"), true);
	// A new leader, which has no record of the ended process, receives its late reply last.
	const next = cluster.startProcess("a");
	const nextManager = next.beginTerm({ key: "leader", revision: 2 });
	nextManager.start();
	next.handleReply("b", restarted.reply());
	cluster.exchangeMessages(next, nextManager, "b", restarted, 2);
	next.handleReply("b", late);
	assert.equal(nextManager.mayStart("b", "red", oneCpu), true);
});

// Guards against a confirmation of an earlier term that passes for one of this term: a dropped admission then starts.
test("a reply that was sent in an earlier term confirms nothing, and its admissions do not start", async () => {
	const cluster = new TestCluster();
	const holder = cluster.startProcess("b");
	const { leader, manager } = await cluster.allotAllTo(holder);
	const lateReplies = [];
	for (let i = 0; i < 3; i++) {
		assert.equal(holder.admit("red", oneCpu).kind, "admitted");
		holder.closeBatch();
		lateReplies.push(holder.reply());
	}
	manager.end();
	// The same process leads again after another leader. The holder has dropped its admissions by then.
	holder.applyAllotmentUpdate(2, { incarnation: "p1", number: 1, echo: 0, settledBatch: 0, teams: [] });
	const nextManager = leader.beginTerm({ key: "leader", revision: 3 });
	nextManager.start();
	for (const reply of lateReplies) {
		assert.equal(leader.handleReply("b", reply), false);
		for (let i = 0; i < 50; i++) nextManager.nextUpdate("b");
	}
	assert.equal(nextManager.mayStart("b", "red", oneCpu), false);
});

// Guards against a late reply of an ended process that confirms a message of an earlier term: the leader then refuses the
// live process for the rest of the term.
test("a late reply of an ended process, sent in an earlier term, does not replace the live process", async () => {
	const cluster = new TestCluster();
	const ended = cluster.startProcess("b");
	const { leader, manager } = await cluster.allotAllTo(ended);
	const lateReplies = [ended.reply(), ended.reply()];
	const restarted = cluster.startProcess("b");
	const exchangeOften = async (current: AllotmentManager, term: number) => {
		for (let i = 0; i < 12; i++) {
			cluster.exchangeMessages(leader, current, "b", restarted, term);
			await cluster.runTicks(current, 1);
		}
	};
	await exchangeOften(manager, 1);
	assert.equal(restarted.admit("red", oneCpu).kind, "admitted", "the live process has the allotment");
	manager.end();
	const nextManager = leader.beginTerm({ key: "leader", revision: 2 });
	cluster.store.rowsByKey.set("leader", { value: "a", revision: 2 });
	nextManager.setPreferredHolder("b", "red");
	nextManager.setRequestedAmount("b", "red", unlimitedAmount);
	nextManager.start();
	for (const reply of lateReplies) {
		leader.handleReply("b", reply);
		for (let i = 0; i < 50; i++) nextManager.nextUpdate("b");
	}
	await exchangeOften(nextManager, 2);
	assert.equal(restarted.admit("red", oneCpu).kind, "admitted");
});

/** Starts the next leader's process and its term. */
function startNextTerm(cluster: TestCluster) {
	const next = cluster.startProcess("a");
	const nextManager = next.beginTerm({ key: "leader", revision: 2 });
	nextManager.start();
	return { next, nextManager };
}

/** Returns a holder's reply as 0.8.0 sends it. */
function replyWithoutTerm(holder: QuotaParticipant) {
	const { term: _term, ...reply } = holder.reply();
	return reply;
}

// Guards against a reply to a leader's message without an update, which still states what an earlier term's message
// confirmed: the service's envelope names the new term. Controllers of 0.8.0 send no term in the reply itself.
test("a reply without a term confirms only messages that were numbered above what it stated before", async () => {
	const cluster = new TestCluster();
	const holder = cluster.startProcess("b");
	const { manager } = await cluster.allotAllTo(holder);
	manager.end();
	const { next, nextManager } = startNextTerm(cluster);
	for (let i = 0; i < 4; i++) {
		next.handleReply("b", replyWithoutTerm(holder));
		for (let j = 0; j < 50; j++) nextManager.nextUpdate("b");
	}
	assert.equal(nextManager.mayStart("b", "red", oneCpu), false, "it has applied no message of this term");
	holder.applyAllotmentUpdate(2, nextManager.nextUpdate("b") as AllotmentUpdate);
	next.handleReply("b", replyWithoutTerm(holder));
	assert.equal(nextManager.mayStart("b", "red", oneCpu), true);
});

// Guards against a late message of the leader before, which a holder applies after it has answered the new leader with a
// message without an update: its next reply names a number of the earlier term that the new leader has used as well.
test("a reply without a term does not confirm a message by the number of a late one of an earlier leader", async () => {
	const cluster = new TestCluster();
	const holder = cluster.startProcess("b");
	const { manager } = await cluster.allotAllTo(holder);
	const lateUpdates = Array.from({ length: 50 }, () => manager.nextUpdate("b") as AllotmentUpdate);
	manager.end();
	const { next, nextManager } = startNextTerm(cluster);
	next.handleReply("b", replyWithoutTerm(holder));
	for (let i = 0; i < 50; i++) nextManager.nextUpdate("b");
	for (const update of lateUpdates) {
		holder.applyAllotmentUpdate(1, update);
		next.handleReply("b", replyWithoutTerm(holder));
	}
	assert.equal(nextManager.mayStart("b", "red", oneCpu), false, "it has applied no message of this term");
	holder.applyAllotmentUpdate(2, nextManager.nextUpdate("b") as AllotmentUpdate);
	next.handleReply("b", replyWithoutTerm(holder));
	assert.equal(nextManager.mayStart("b", "red", oneCpu), true);
});

test("a batch that was lost, arrives late or arrives twice is not started", async () => {
	const cluster = new TestCluster();
	const holder = cluster.startProcess("b");
	const { leader, manager } = await cluster.allotAllTo(holder);
	holder.admit("red", oneCpu, 2);
	holder.closeBatch();
	const lateReply = holder.reply();
	cluster.exchangeMessages(leader, manager, "b", holder, 1);
	assert.equal(leader.handleReply("b", lateReply), false, "a later reply has settled it");
	cluster.exchangeMessages(leader, manager, "b", holder, 1);
	assert.deepEqual(
		holder.admit("red", oneCpu, 9),
		{ kind: "admitted", count: 4 },
		"and its amount is available again",
	);
	holder.closeBatch();
	const reply = holder.reply();
	assert.deepEqual([leader.handleReply("b", reply), leader.handleReply("b", reply)], [true, false]);
});

test("an admission counts as used until the leader has settled its batch, however long that takes", async () => {
	const cluster = new TestCluster();
	const holder = cluster.startProcess("b");
	const { leader, manager } = await cluster.allotAllTo(holder);
	holder.admit("red", oneCpu, 3);
	holder.closeBatch();
	holder.applyAllotmentUpdate(1, manager.nextUpdate("b") as AllotmentUpdate);
	assert.deepEqual(holder.admit("red", oneCpu, 9), { kind: "admitted", count: 1 });
	holder.closeBatch();
	leader.handleReply("b", holder.reply());
	const charge = manager.charges.add("red", "b", { cpus: 4000, gpus: 0 });
	holder.applyAllotmentUpdate(1, manager.nextUpdate("b") as AllotmentUpdate);
	assert.deepEqual(holder.admit("red", oneCpu, 9).kind, "refused");
	manager.charges.release(charge);
	leader.handleReply("b", holder.reply());
	holder.applyAllotmentUpdate(1, manager.nextUpdate("b") as AllotmentUpdate);
	assert.deepEqual(holder.admit("red", oneCpu, 9), { kind: "admitted", count: 4 });
});

test("verification logs a persistent difference between records, charges and running tasks once", async () => {
	const cluster = new TestCluster();
	const holder = cluster.startProcess("b");
	const { manager } = await cluster.allotAllTo(holder);
	const verifyWithRunning = (cpus: number) =>
		manager.verifyCharges(new Map([["red", { amount: { cpus, gpus: 0 }, tolerance: { cpus: 1, gpus: 1 } }]]));
	const takeErrorMessages = () => cluster.errorMessages.splice(0);
	const charge = manager.charges.add("red", "b", oneCpu);
	for (let i = 0; i < 3; i++) verifyWithRunning(1000);
	assert.deepEqual(takeErrorMessages(), []);
	// A task is missing in one of the two counts.
	verifyWithRunning(2000);
	assert.deepEqual(takeErrorMessages(), [], "a difference in a single check is not reported");
	verifyWithRunning(2000);
	verifyWithRunning(2000);
	assert.deepEqual(takeErrorMessages(), ["charged amount differs from running tasks"]);
	verifyWithRunning(1000);
	manager.charges.add("red", "c", oneCpu);
	for (let i = 0; i < 3; i++) verifyWithRunning(2000);
	assert.deepEqual(takeErrorMessages(), ["allotment holder is charged more than its allotment"]);
	manager.charges.release(charge);
	for (let i = 0; i < 5; i++) verifyWithRunning(1000 + i * 100);
	assert.deepEqual(takeErrorMessages(), ["charged amount differs from running tasks"]);
});

// Guards against amounts in thousandths in some log lines, beside limits in CPUs and accelerators in others.
test("verification logs amounts in CPUs and accelerators", async () => {
	const cluster = new TestCluster();
	const { manager } = await cluster.allotAllTo(cluster.startProcess("b"));
	manager.charges.add("red", "b", { cpus: 1500, gpus: 250 });
	const running = new Map([["red", { amount: { cpus: 500, gpus: 0 }, tolerance: zeroAmount }]]);
	for (let i = 0; i < 2; i++) manager.verifyCharges(running);
	const difference = cluster.errorFields.find((fields) => !("holder" in fields));
	assert.deepEqual(difference, {
		team: "red",
		expected: { cpus: 0.5, gpus: 0 },
		found: { cpus: 1.5, gpus: 0.25 },
	});
});

test("400 teams in a fleet of 4,000 machines fit into values and requests, and only changes are written and sent", async () => {
	const teams = new Map<string, LimitAndGuarantee>();
	for (let i = 0; i < 400; i++)
		teams.set(`team-${i}`, { limit: limitAmount(160, 8), guarantee: limitAmount(80, 4) });
	const cluster = new TestCluster(teams, ["a", "b", "c", "d", "e"]);
	const holder = cluster.startProcess("b");
	const leader = cluster.startProcess("a");
	const manager = leader.beginTerm({ key: "leader", revision: 1 });
	manager.start();
	for (const team of teams.keys()) {
		manager.setPreferredHolder("b", team);
		manager.setRequestedAmount("b", team, unlimitedAmount);
	}
	for (let i = 0; i < 60; i++) {
		cluster.exchangeMessages(leader, manager, "b", holder, 1);
		await cluster.runTicks(manager, 1);
	}
	const values = [...cluster.store.rowsByKey].filter(([key]) => key !== "leader");
	const bytes = values.map(([, row]) => JSON.stringify(row.value).length);
	assert.ok(Math.max(...bytes) <= 13_000, `${Math.max(...bytes)} bytes`);
	for (const { changes } of cluster.store.writes)
		assert.ok(
			JSON.stringify(changes).length <= 48 * 1024,
			"the state service accepts requests of up to 64 KiB",
		);
	assert.ok(bytes.length <= 24, `${bytes.length} values`);
	const { length: transactionCount } = cluster.store.writes;
	assert.ok(transactionCount <= 30, `${transactionCount} transactions until the preferred holder has all`);
	cluster.exchangeMessages(leader, manager, "b", holder, 1);
	// From here on, writes and messages grow with the number of changes, not with the number of teams.
	for (const team of teams.keys()) {
		assert.equal(holder.admit(team, oneCpu, 100).kind, "admitted");
		manager.charges.add(team, "b", { cpus: 100_000, gpus: 0 });
	}
	holder.closeBatch();
	cluster.exchangeMessages(leader, manager, "b", holder, 1);
	cluster.exchangeMessages(leader, manager, "b", holder, 1);
	manager.charges.add("team-7", "b", oneCpu);
	assert.deepEqual(
		manager.nextUpdate("b")?.teams.map(({ team }) => team),
		["team-7"],
	);
	await cluster.runTicks(manager, 10);
	assert.equal(cluster.store.writes.length, transactionCount, "40,000 admissions and no write");
	assert.deepEqual(manager.excessOverPendingLimit("team-7"), zeroAmount);
});
