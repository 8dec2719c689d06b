/** Orphaned tasks: tasks that machines list and no live attempt matches, and their usage until they have ended. */

import type { Machine } from "../../bookkeeping/machine.js";
import { OrphanedTask } from "../../bookkeeping/orphaned-task.js";
import type { JobId } from "../../protocol/model/identifiers.js";
import type { TaskDemand } from "../../protocol/model/job.js";
import type { AttemptRef } from "../../protocol/model/worker.js";
import type { QuotaAccounting } from "./quota-accounting.js";

/**
 * Owns the orphaned tasks of all machines. Such a task, for example of a job that was cancelled while there was no
 * leader, uses its team's quota until it is confirmed to have ended. If the leader no longer has the job, the demand is
 * read from the store; until it is known, any team may be at its limit, and no task may start (trace 49; "orphaned
 * tasks use their team's quota until they disappear…" in tests/coordination/workers/heartbeat-reconciliation.test.ts).
 */
export class OrphanRegistry {
	/** Number of orphaned tasks of unknown demand on each machine that has any. */
	readonly #unknownDemandCounts = new Map<Machine, number>();

	/** @param demandOf Returns the demand of a task of a job that has ended; null: it is unknown. */
	constructor(
		private readonly accounting: QuotaAccounting,
		private readonly demandOf: (jobId: JobId) => TaskDemand | null,
	) {}

	/** True if the demand of every orphaned task is known. */
	get allDemandsKnown(): boolean {
		return this.#unknownDemandCounts.size === 0;
	}

	/** Returns the jobs that have orphaned tasks of unknown demand. */
	jobsWithUnknownDemand(): Set<JobId> {
		const jobIds = new Set<JobId>();
		for (const machine of this.#unknownDemandCounts.keys())
			for (const task of machine.orphans) if (task.demand === null) jobIds.add(task.jobId);
		return jobIds;
	}

	/** Adds an orphaned task that the machine lists. `demand` is its demand if its job is live, and otherwise null. */
	add(machine: Machine, ref: AttemptRef, demand: TaskDemand | null): void {
		const task = new OrphanedTask(ref);
		const resolvedDemand = demand ?? this.demandOf(ref.jobId);
		if (resolvedDemand) task.setDemand(resolvedDemand, this.accounting.allocateUnattributed(resolvedDemand));
		else this.adjustUnknownCount(machine, 1);
		machine.addOrphan(task);
	}

	/**
	 * Removes the machine's orphaned tasks, because they have ended or a new heartbeat replaces the list; false: there
	 * were none. The machine always gets a new list object, because callers compare the list of the previous heartbeat
	 * with the next one.
	 */
	clear(machine: Machine): boolean {
		const { orphans } = machine;
		machine.clearOrphans();
		for (const { demand, charge } of orphans) {
			if (demand) this.accounting.release(demand, charge);
			else this.adjustUnknownCount(machine, -1);
		}
		return orphans.length > 0;
	}

	/** Sets the demand of the job's orphaned tasks if it is known by now; false: nothing has changed. */
	resolveDemand(jobId: JobId): boolean {
		const demand = this.demandOf(jobId);
		if (demand === null) return false;
		let resolved = false;
		for (const machine of [...this.#unknownDemandCounts.keys()]) {
			for (const task of machine.orphans) {
				if (task.jobId !== jobId || task.demand !== null) continue;
				this.adjustUnknownCount(machine, -1);
				task.setDemand(demand, this.accounting.allocateUnattributed(demand));
				resolved = true;
			}
		}
		return resolved;
	}

	/** Charges the machine's orphaned tasks of known demand, when team quota is enabled. */
	chargeAll(machine: Machine): void {
		for (const task of machine.orphans)
			if (task.demand) task.setDemand(task.demand, this.accounting.chargeUnattributed(task.demand));
	}

	private adjustUnknownCount(machine: Machine, change: 1 | -1): void {
		const count = (this.#unknownDemandCounts.get(machine) ?? 0) + change;
		if (count > 0) this.#unknownDemandCounts.set(machine, count);
		else this.#unknownDemandCounts.delete(machine);
	}
}
