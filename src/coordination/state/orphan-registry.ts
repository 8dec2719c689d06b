/** Tasks that are on machines though nobody wants them, and what they use until they are gone. */

import type { Machine } from "../../bookkeeping/machine.js";
import { OrphanedTask } from "../../bookkeeping/orphaned-task.js";
import type { JobId } from "../../protocol/model/identifiers.js";
import type { TaskDemand } from "../../protocol/model/job.js";
import type { AttemptRef } from "../../protocol/model/worker.js";
import type { QuotaAccounting } from "./quota-accounting.js";

/**
 * Owns the orphaned tasks of all machines. Such a task, for example of a job that was cancelled while nobody led, uses
 * its team's quota until it is proved gone. Of a job that nobody here knows any more the demand is read from the store;
 * until it is known, any team may be at its limit, and nothing may start (trace 49; "tasks of a job that is over use
 * their team's quota until they are gone" in tests/coordination/workers/heartbeat-reconciliation.test.ts).
 */
export class OrphanRegistry {
	/** Machines with orphaned tasks of unknown demand, and how many. */
	readonly #unknownDemands = new Map<Machine, number>();

	/** @param demandOf What a task of a job that is over uses; null: not known. */
	constructor(
		private readonly accounting: QuotaAccounting,
		private readonly demandOf: (jobId: JobId) => TaskDemand | null,
	) {}

	/** It is known of every orphaned task what it uses. */
	get allDemandsKnown(): boolean {
		return this.#unknownDemands.size === 0;
	}

	/** Jobs with tasks of which it is not known what they use. */
	jobsWithUnknownDemand(): Set<JobId> {
		const jobIds = new Set<JobId>();
		for (const machine of this.#unknownDemands.keys())
			for (const task of machine.orphans) if (task.demand === null) jobIds.add(task.jobId);
		return jobIds;
	}

	/** The machine lists a task that nobody wants. `demand` is what it uses, if its job is live. */
	add(machine: Machine, ref: AttemptRef, demand: TaskDemand | null): void {
		const task = new OrphanedTask(ref);
		const known = demand ?? this.demandOf(ref.jobId);
		if (known) task.setDemand(known, this.accounting.allocateUnattributed(known));
		else this.countUnknown(machine, 1);
		machine.addOrphan(task);
	}

	/**
	 * The machine's orphaned tasks are gone, or a new heartbeat lists them anew; false: it had none. The machine gets
	 * a new list in any case: who holds the list of the heartbeat before compares it with the next one.
	 */
	clear(machine: Machine): boolean {
		const { orphans } = machine;
		machine.clearOrphans();
		for (const { demand, charge } of orphans) {
			if (demand) this.accounting.release(demand, charge);
			else this.countUnknown(machine, -1);
		}
		return orphans.length > 0;
	}

	/** It may have become known what tasks of the job use; false: nothing has changed. */
	resolveDemand(jobId: JobId): boolean {
		const demand = this.demandOf(jobId);
		if (demand === null) return false;
		let resolved = false;
		for (const machine of [...this.#unknownDemands.keys()]) {
			for (const task of machine.orphans) {
				if (task.jobId !== jobId || task.demand !== null) continue;
				this.countUnknown(machine, -1);
				task.setDemand(demand, this.accounting.allocateUnattributed(demand));
				resolved = true;
			}
		}
		return resolved;
	}

	/** Team quota is in use from now on: charges what is known of the machine's orphaned tasks. */
	chargeAll(machine: Machine): void {
		for (const task of machine.orphans)
			if (task.demand) task.setDemand(task.demand, this.accounting.chargeUnattributed(task.demand));
	}

	private countUnknown(machine: Machine, change: 1 | -1): void {
		const tasks = (this.#unknownDemands.get(machine) ?? 0) + change;
		if (tasks > 0) this.#unknownDemands.set(machine, tasks);
		else this.#unknownDemands.delete(machine);
	}
}
