/** The rules for starts of tasks on machines. Each start must satisfy all of them, whichever component proposes it. */

import type { Job } from "../../bookkeeping/job.js";
import type { Machine } from "../../bookkeeping/machine.js";
import { machineAllowed } from "../../bookkeeping/machine-fit.js";
import { tasksByZone, zoneTaskHeadroom } from "../../bookkeeping/zone-rules.js";
import type { NodeId } from "../../protocol/model/identifiers.js";
import type { QuotaAccounting } from "./quota-accounting.js";

/** The reason why no further task of a job may start on a machine now. */
export type AssignmentRefusal =
	| "cluster not reconciled"
	| "job ended"
	| "no attempt numbers yet"
	| "attempt numbers exhausted"
	| "attempt limit"
	| "machine not schedulable"
	| "machine reserved"
	| "machine not allowed"
	| "task list of machine full"
	| "insufficient capacity on machine"
	| "machine on probation"
	| "team at limit"
	| "zone constraint"
	| "allotment exhausted";

/** The state of the leader as a whole that the rules depend on. */
export interface AssignmentReadiness {
	/** True if all tasks of earlier leaders are known. */
	readonly reconciled: boolean;
	/** True if the range of the term's attempt numbers is known. */
	readonly attemptNumbersAvailable: boolean;
	/** True if the attempt numbers of the term are used up. */
	readonly attemptNumbersExhausted: boolean;
	/** Number of further attempts that the leader can hold. */
	readonly attemptHeadroom: number;
}

/** Decides whether one more task of a job may start on a machine. It has no state. */
export class AssignmentRules {
	constructor(
		private readonly readiness: AssignmentReadiness,
		private readonly accounting: QuotaAccounting,
	) {}

	/**
	 * Returns why one more task of the job may not start on the machine now; null: every rule allows it.
	 *
	 * @param admittedBy The controller to whose allotment the start would be charged; see QuotaAccounting.
	 */
	refusal(job: Job, machine: Machine, admittedBy: NodeId): AssignmentRefusal | null {
		return (
			this.leaderRefusal(job) ?? machineRefusal(job, machine) ?? this.quotaRefusal(job, machine, admittedBy)
		);
	}

	/** Returns why no task of the job may start on any machine. */
	private leaderRefusal(job: Job): AssignmentRefusal | null {
		// A task may be running on an unreconciled machine of an earlier leader: it would run twice, or its team would
		// exceed its limit ("the assignment of tasks is refused while a machine of an earlier leader is unreconciled" in
		// tests/coordination/state/cluster-state.test.ts; traces 18, 21, 47, 49).
		if (!this.readiness.reconciled) return "cluster not reconciled";
		// A task of a cancelled job would run for longer than `cancel_s` ("the end of a job ends its assigned attempts…" in
		// tests/coordination/workers/worker-commands.test.ts; traces 07, 08).
		if (job.ended || job.finalizing) return "job ended";
		// Numbers from no range could be smaller than those of an earlier term (tests/service/large-counters.test.ts).
		if (!this.readiness.attemptNumbersAvailable) return "no attempt numbers yet";
		// If a number were used twice, a late heartbeat could be attributed to the wrong attempt. The leader resigns.
		if (this.readiness.attemptNumbersExhausted) return "attempt numbers exhausted";
		// The leader would run out of memory (attempt-capacity.ts).
		if (this.readiness.attemptHeadroom < 1) return "attempt limit";
		return null;
	}

	/** Returns why the job's team may not run more tasks, or the job may not run more in the machine's zone. */
	private quotaRefusal(job: Job, machine: Machine, admittedBy: NodeId): AssignmentRefusal | null {
		const { spec } = job;
		// The team would exceed its limit ("the assignment of tasks never exceeds a team's limit…"; traces 15, 47, 49,
		// 56).
		if (!this.accounting.fitsLimit(spec)) return "team at limit";
		// The job's tasks would be in several zones, or too many of them in one (trace 16).
		if ((spec.singleZone || spec.spreadZones) && zoneTaskHeadroom(spec, tasksByZone(job), machine.zone) < 1)
			return "zone constraint";
		// Controllers that admit tasks at the same time would together exceed the limit (tests/team-quota).
		if (!this.accounting.mayStart(spec, admittedBy)) return "allotment exhausted";
		return null;
	}
}

/** Returns why the job's tasks may not start on this machine. */
function machineRefusal(job: Job, machine: Machine): AssignmentRefusal | null {
	const { capacity, health } = machine;
	const { spec } = job;
	// A task could run twice on a machine without a stored record, which a later leader would not reconcile, or on one
	// whose worker accepts commands of an earlier leader ("no task is assigned to a machine before…" in
	// tests/coordination/workers/heartbeat-reconciliation.test.ts).
	if (!machine.schedulable) return "machine not schedulable";
	// Without reservations wide tasks would starve beside small ones, which would take all released resources (trace
	// 57).
	if (capacity.reservedForJob !== null && capacity.reservedForJob !== job) return "machine reserved";
	// The task would run on a machine type, in a zone or on a spot machine that its job does not allow (trace 16).
	if (!machineAllowed(spec, machine)) return "machine not allowed";
	// The worker's heartbeat would be too large, and every controller would refuse it ("a machine gets no more tasks than
	// its worker can list…" in tests/coordination/state/assignment-rules.test.ts).
	if (machine.taskHeadroom < 1) return "task list of machine full";
	// The worker would refuse the start ("the assignment of tasks never exceeds a team's limit or a machine's
	// capacity…" in tests/coordination/state/cluster-state.test.ts).
	if (!capacity.fits(spec)) return "insufficient capacity on machine";
	// A faulty machine would fail as many tasks as fit on it (traces 40, 55).
	if (health.onProbation && machine.attempts.size > 0) return "machine on probation";
	return null;
}
