/** The rules for the decision that a task starts on a machine. Whoever proposes a start, all of them must hold. */

import type { Job } from "../../bookkeeping/job.js";
import type { Machine } from "../../bookkeeping/machine.js";
import { machineAllowed } from "../../bookkeeping/machine-fit.js";
import { tasksByZone, zoneTaskHeadroom } from "../../bookkeeping/zone-rules.js";
import type { NodeId } from "../../protocol/model/identifiers.js";
import type { QuotaAccounting } from "./quota-accounting.js";

/** Why no further task of a job may start on a machine now. */
export type AssignmentRefusal =
	| "cluster not reconciled"
	| "job over"
	| "attempt numbers exhausted"
	| "machine not schedulable"
	| "machine reserved"
	| "machine not allowed"
	| "no room on machine"
	| "machine on probation"
	| "team at limit"
	| "zone rule"
	| "no allotment";

/** What the rules need to know of the leader's state as a whole. */
export interface AssignmentReadiness {
	/** All tasks of earlier leaders are known. */
	readonly reconciled: boolean;
	/** The attempt numbers of the term are used up. */
	readonly attemptNumbersExhausted: boolean;
}

/** Decides whether one more task of a job may start on a machine. It owns no state. */
export class AssignmentRules {
	constructor(
		private readonly readiness: AssignmentReadiness,
		private readonly accounting: QuotaAccounting,
	) {}

	/**
	 * Why one more task of the job may not start on the machine now; null: every rule allows it.
	 *
	 * @param admittedBy The controller whose allotment the start would be charged to; see QuotaAccounting.
	 */
	refusal(job: Job, machine: Machine, admittedBy: NodeId): AssignmentRefusal | null {
		return (
			this.leaderRefusal(job) ?? machineRefusal(job, machine) ?? this.quotaRefusal(job, machine, admittedBy)
		);
	}

	/** What keeps every task of the job from starting anywhere. */
	private leaderRefusal(job: Job): AssignmentRefusal | null {
		// A task may still run on a machine of an earlier leader that has not been heard: it would run twice, or its
		// team would pass its limit ("the assignment of tasks is refused while a machine of an earlier leader is
		// unreconciled" in tests/coordination/state/cluster-state.test.ts; traces 18, 21, 47, 49).
		if (!this.readiness.reconciled) return "cluster not reconciled";
		// A cancelled job's task would run on beyond `cancel_s` ("the end of a job withdraws assigned attempts…" in
		// tests/coordination/workers/worker-commands.test.ts; traces 07, 08).
		if (job.ended || job.finalizing) return "job over";
		// A number that was given out twice would let a late heartbeat be taken for another attempt. The leader resigns.
		if (this.readiness.attemptNumbersExhausted) return "attempt numbers exhausted";
		return null;
	}

	/** What keeps the job's team from running more, or the job from running more in the machine's zone. */
	private quotaRefusal(job: Job, machine: Machine, admittedBy: NodeId): AssignmentRefusal | null {
		const { spec } = job;
		// A team would pass its limit ("the assignment of tasks never exceeds a team's limit…"; traces 15, 47, 49, 56).
		if (!this.accounting.fitsLimit(spec)) return "team at limit";
		// The job's tasks would be in several zones, or too many of them in one (trace 16).
		if ((spec.singleZone || spec.spreadZones) && zoneTaskHeadroom(spec, tasksByZone(job), machine.zone) < 1)
			return "zone rule";
		// Controllers that admit tasks at the same time would pass the limit together (tests/team-quota).
		if (!this.accounting.mayStart(spec, admittedBy)) return "no allotment";
		return null;
	}
}

/** What keeps the job's tasks from starting on this machine. */
function machineRefusal(job: Job, machine: Machine): AssignmentRefusal | null {
	const { capacity, health } = machine;
	const { spec } = job;
	// A machine that a later leader would not know of, or that still takes commands of an earlier one, could run a task
	// twice ("no start goes to a machine before…" in tests/coordination/workers/heartbeat-reconciliation.test.ts).
	if (!machine.schedulable) return "machine not schedulable";
	// Wide tasks never started beside small ones: each place that came free was taken by the next small task (trace
	// 57).
	if (capacity.reservedForJob !== null && capacity.reservedForJob !== job) return "machine reserved";
	// A task started on a type, in a zone or on a kind of machine that its job does not allow (trace 16).
	if (!machineAllowed(spec, machine)) return "machine not allowed";
	// The worker would refuse the start ("the assignment of tasks never exceeds a team's limit or a machine's
	// capacity…" in tests/coordination/state/cluster-state.test.ts).
	if (!capacity.fits(spec)) return "no room on machine";
	// A faulty machine would fail all the tasks that it has room for (traces 40, 55).
	if (health.onProbation && machine.attempts.size > 0) return "machine on probation";
	return null;
}
