import type { Attempt } from "../../bookkeeping/attempt.js";
import type { ExitedTask } from "../../bookkeeping/exited-tasks.js";
import type { Job } from "../../bookkeeping/job.js";
import { Machine } from "../../bookkeeping/machine.js";
import { taskIdOf } from "../../protocol/model/identifiers.js";
import type { TaskStatus, WorkerCommand, WorkerHeartbeat } from "../../protocol/model/worker.js";
import type { ClusterState } from "../state/cluster-state.js";

/** What a report tells about jobs and machines, for those who log and decide on it. */
export interface AttemptOutcome {
	attempt: Attempt;
	cause: NonNullable<TaskStatus["exitCause"]>;
}

export type ReconciliationResult =
	| {
			kind: "applied";
			machine: Machine;
			outcomes: AttemptOutcome[];
			/** Jobs with tasks that are done, under whichever leader's attempts. */
			progressed: Set<Job>;
			vanished: Attempt[];
			/** Replicas that are reported running for the first time. */
			begun: Attempt[];
			isNew: boolean;
			/** It is its first report to this leader. */
			cameUp: boolean;
	  }
	/** Older than the newest seen: changes nothing. */
	| { kind: "old" }
	/** Of a lease that has expired: must not be answered in a way that renews it. */
	| { kind: "expired" }
	| { kind: "unknown type" };

/**
 * Applies a worker's report. A worker has one report in flight, so a report with
 * a larger (session, seq) was sent after the answer to the one before was carried
 * out or can no longer be: what it does not list is not there.
 */
export function reconcileHeartbeat(
	clusterState: ClusterState,
	report: WorkerHeartbeat,
	now: number,
): ReconciliationResult {
	const known = clusterState.machines.get(report.machineId);
	const machine = known ?? newMachine(clusterState, report, now);
	if (!machine) return { kind: "unknown type" };
	const refused = refusal(clusterState, machine, report, now);
	if (refused) return { kind: refused };
	const newSession = machine.agent.epoch !== 0 && report.agentEpoch > machine.agent.epoch;
	// Its lease ran out although it was answered lately. Once, the answer may just have come too late.
	const ranOut = newSession && now - machine.agent.respondedAt < clusterState.workerLeaseExpiryMs / 2;
	const cameUp = !machine.agent.running;
	update(clusterState, machine, report, now);
	const listing = applyListed(clusterState, machine, report.tasks, now);
	const startUnseen = !newSession && hasUnlistedStart(machine, listing.listed);
	machine.agent.noteResponseEffects(
		{ leaseExpired: ranOut, startMissing: startUnseen, startListed: listing.startSeen },
		clusterState.workerLeaseExpiryMs,
		now,
	);
	const vanished = applyAbsent(clusterState, machine, listing.listed, newSession);
	const { outcomes, progressed, begun } = listing;
	const isNew = known === undefined;
	return { kind: "applied", machine, outcomes, progressed, vanished, begun, isNew, cameUp };
}

/** null: of its type nothing is known. */
function newMachine(clusterState: ClusterState, report: WorkerHeartbeat, now: number): Machine | null {
	const type = clusterState.machineTypes.get(report.machineType);
	if (!type) return null;
	const machine = new Machine(
		{ id: report.machineId, type, zone: report.zone, spot: report.spot, origin: "heartbeat" },
		now,
	);
	clusterState.addMachine(machine);
	return machine;
}

/** Why the report changes nothing, or null. */
function refusal(
	clusterState: ClusterState,
	machine: Machine,
	report: WorkerHeartbeat,
	now: number,
): "expired" | "old" | null {
	const { agentEpoch: session, sequence: seq, fencingToken: token } = report;
	if (session < machine.agent.leastEpoch) return "expired";
	if (session < machine.agent.epoch) return "old";
	if (session > machine.agent.epoch) return null;
	if (seq <= machine.agent.sequence) return "old";
	// One report is in flight at a time, so one that shows an earlier token was sent without
	// the answers before it, and these can no longer arrive: they have renewed nothing. What
	// its lease rests on is older than this term, however often we have answered.
	const unrenewed = !machine.agent.fenced && token < clusterState.term;
	if (!unrenewed || now - machine.lifecycle.requestedAt <= clusterState.workerLeaseExpiryMs) return null;
	clusterState.expireLease(machine);
	return "expired";
}

function update(clusterState: ClusterState, machine: Machine, report: WorkerHeartbeat, now: number): void {
	machine.agent.heartbeatReceived(report, now);
	machine.lifecycle.heartbeatReceived(report.reclaimInS === null ? null : now + report.reclaimInS * 1000);
	if (report.fencingToken !== clusterState.term || machine.agent.fenced) return;
	machine.agent.fencingConfirmed();
	clusterState.markReconciled(machine);
	clusterState.requestPlacement();
}

/** What the tasks that a report lists tell. */
interface Listing {
	outcomes: AttemptOutcome[];
	progressed: Set<Job>;
	begun: Attempt[];
	/** Tasks of which an attempt is on the machine. */
	listed: Set<string>;
	/** A start that was sent is listed. */
	startSeen: boolean;
}

function applyListed(
	clusterState: ClusterState,
	machine: Machine,
	tasks: TaskStatus[],
	now: number,
): Listing {
	const listing: Listing = {
		outcomes: [],
		progressed: new Set(),
		begun: [],
		listed: new Set(),
		startSeen: false,
	};
	machine.exitedTasks.clear();
	clusterState.clearOrphans(machine);
	for (const task of tasks) {
		const key = taskIdOf(task.jobId, task.taskIndex);
		const attempt = machine.attempts.get(key);
		if (attempt?.number === task.attempt) {
			listing.listed.add(key);
			applyKnown(clusterState, attempt, task, listing, now);
		} else if (task.state === "exited") applyUnknownExit(clusterState, machine, task, listing);
		else if (adoptOrRefuse(clusterState, machine, task, now)) listing.listed.add(key);
	}
	return listing;
}

function applyKnown(
	clusterState: ClusterState,
	attempt: Attempt,
	task: TaskStatus,
	listing: Listing,
	now: number,
): void {
	listing.startSeen ||= attempt.phase === "sent";
	if (task.state !== "exited") {
		if (progress(attempt, task, now) && attempt.job.isService) listing.begun.push(attempt);
		return;
	}
	const cause = task.exitCause ?? "error";
	exited(clusterState, attempt.machine, task);
	if (cause === "done") {
		clusterState.markTaskDone(attempt.job, attempt.taskIndex);
		listing.progressed.add(attempt.job);
	}
	clusterState.endAttempt(attempt);
	listing.outcomes.push({ attempt, cause });
}

function applyUnknownExit(
	clusterState: ClusterState,
	machine: Machine,
	task: TaskStatus,
	listing: Listing,
): void {
	exited(clusterState, machine, task);
	const job = clusterState.jobs.get(task.jobId);
	if (task.exitCause !== "done" || !job || task.taskIndex >= job.spec.taskCount) return;
	foundDone(clusterState, job, task.taskIndex);
	listing.progressed.add(job);
}

/** A start was sent, and the report after it does not list it. */
function hasUnlistedStart(machine: Machine, listed: Set<string>): boolean {
	for (const [key, { phase, stop }] of machine.attempts)
		if (phase === "sent" && stop === null && !listed.has(key)) return true;
	return false;
}

/** Attempts that the report does not list; returns those that are gone though they were there. */
function applyAbsent(
	clusterState: ClusterState,
	machine: Machine,
	listed: Set<string>,
	newSession: boolean,
): Attempt[] {
	const vanished: Attempt[] = [];
	const unreachable = machine.agent.unreachableSince !== null;
	for (const [key, attempt] of [...machine.attempts]) {
		if (listed.has(key)) continue;
		if (attempt.phase === "assigned") {
			if (unreachable) clusterState.endAttempt(attempt);
			continue;
		}
		// Tasks of a lease that expired were killed. Otherwise absence counts only
		// once older answers are known to be dead, that is, from a confirmed machine.
		if (!newSession && !machine.agent.fenced) continue;
		const startLost = attempt.phase === "sent" && !newSession && attempt.stop === null;
		// The answer with the start was lost; it is sent again with the same number, or,
		// where answers do not arrive at all, given up: it can no longer be carried out.
		if (startLost && !unreachable) attempt.markStartLost();
		else clusterState.endAttempt(attempt);
		if (!startLost) vanished.push(attempt);
	}
	return vanished;
}

function exited(clusterState: ClusterState, machine: Machine, task: TaskStatus): void {
	machine.exitedTasks.add({
		jobId: task.jobId,
		taskIndex: task.taskIndex,
		attempt: task.attempt,
		done: task.exitCause === "done" && clusterState.jobs.get(task.jobId)?.isService === false,
	});
}

/** Completed under an attempt that this leader did not know; the result counts all the same. */
function foundDone(clusterState: ClusterState, job: Job, index: number): void {
	if (job.isService) return;
	clusterState.markTaskDone(job, index);
	const other = job.attempts.get(index);
	if (!other) return;
	if (other.phase === "assigned") clusterState.endAttempt(other);
	else other.requestStop("task done", 0);
}

/** True if it is reported running for the first time. */
function progress(attempt: Attempt, task: TaskStatus, now: number): boolean {
	if (task.state === "exited") return false;
	if (!attempt.noteState(task.state, now)) return false;
	attempt.machine.capacity.noteImage(attempt.job.spec.image);
	return true;
}

/** True if the task is this machine's from now on. */
function adoptOrRefuse(clusterState: ClusterState, machine: Machine, task: TaskStatus, now: number): boolean {
	const job = clusterState.jobs.get(task.jobId);
	const other = job?.attempts.get(task.taskIndex);
	const wanted =
		job !== undefined &&
		task.taskIndex < job.spec.taskCount &&
		!job.doneTasks.has(task.taskIndex) &&
		// An attempt is decided only when the one before is proved over. A late copy of a
		// report may have listed that one again after a change of leader.
		(other === undefined || other.number < task.attempt);
	if (!wanted) {
		clusterState.addOrphan(machine, {
			jobId: task.jobId,
			taskIndex: task.taskIndex,
			attempt: task.attempt,
		});
		return false;
	}
	if (other) clusterState.endAttempt(other);
	progress(clusterState.adoptAttempt(job, task.taskIndex, task.attempt, machine), task, now);
	return true;
}

/** Whether the outcome of an exited attempt can no longer be lost with the machine's report. */
function outcomeKept(clusterState: ClusterState, task: ExitedTask): boolean {
	if (!task.done) return true;
	const job = clusterState.jobs.get(task.jobId);
	return job === undefined || job.durableDoneTasks.has(task.taskIndex);
}

/**
 * The orders for a report's answer. One task that is over is kept as a handle, whose
 * later forgetting makes the worker report. Starts go out only this way, never to
 * /commands, where they could be carried out minutes late.
 */
export function commandsFor(clusterState: ClusterState, machine: Machine): WorkerCommand[] {
	const orders: WorkerCommand[] = [];
	const over = machine.exitedTasks.chooseForgettable(
		(task) => outcomeKept(clusterState, task),
		machine.schedulable,
	);
	for (const task of over) {
		orders.push({ kind: "forget", jobId: task.jobId, taskIndex: task.taskIndex, attempt: task.attempt });
	}
	for (const task of machine.orphans) {
		orders.push({
			kind: "stop",
			jobId: task.jobId,
			taskIndex: task.taskIndex,
			attempt: task.attempt,
			graceS: 0,
		});
	}
	const starts: WorkerCommand[] = [];
	for (const attempt of [...machine.attempts.values()]) {
		const { job, taskIndex: index, number } = attempt;
		if (attempt.phase === "assigned") {
			// Since the decision the machine may have been closed or the job ended. One that was marked
			// meanwhile runs this first: work that fits nowhere else would be put off again and again.
			if (!machine.acceptsAssignedStarts || attempt.stop !== null || job.over)
				clusterState.endAttempt(attempt);
			else {
				attempt.markSent();
				starts.push({ kind: "start", jobId: job.id, taskIndex: index, attempt: number });
			}
		} else if (attempt.stop !== null) {
			orders.push({
				kind: "stop",
				jobId: job.id,
				taskIndex: index,
				attempt: number,
				graceS: attempt.stop.graceS,
			});
		}
	}
	return [...orders, ...starts];
}

/** Stops for /commands, which may be carried out late without harm. */
export function stopCommandsFor(attempts: Attempt[]): WorkerCommand[] {
	return attempts.map((a) => ({
		kind: "stop",
		jobId: a.job.id,
		taskIndex: a.taskIndex,
		attempt: a.number,
		graceS: a.stop?.graceS ?? 0,
	}));
}
