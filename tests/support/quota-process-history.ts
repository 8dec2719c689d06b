import type { History } from "../../packages/team-quota/tests/support/history.js";
import { maxUint64, type Uint64 } from "../../src/protocol/model/uint64.js";
import type { QuotaTask } from "./quota-node.js";

interface RunningTask {
	task: QuotaTask;
	startedAt: number;
	endedAt: number | null;
}

/**
 * The history of a test with controllers as processes: what they admitted and refused, and which tasks the workers
 * started. Times are those of the host's clock, in milliseconds.
 */
export class ProcessHistory {
	/** By task: the admission, and the time from which it can no longer start if it has not started. */
	private readonly admissions = new Map<string, { task: QuotaTask; voidAt: number }>();
	private readonly runs = new Map<string, RunningTask>();
	private readonly refusals: History["refusals"] = [];
	private readonly limitChanges: History["limitChanges"] = [];
	/** The latest term of which a leader has reported to the workers. */
	private term: Uint64 = 0;

	constructor(private readonly now: () => number) {}

	leaderReported(term: Uint64): void {
		this.term = maxUint64(this.term, term);
	}

	admitted(task: QuotaTask, voidAt: number): void {
		this.admissions.set(task.id, { task, voidAt });
	}

	/** Records that admissions can no longer start. For tasks that have started, the history uses their run time. */
	dropped(ids: readonly string[], at = this.now()): void {
		for (const id of ids) {
			const admission = this.admissions.get(id);
			if (admission) admission.voidAt = Math.min(admission.voidAt, at);
		}
	}

	/** Records that a process has ended: what it admitted and no leader has started can no longer start. */
	processEnded(incarnation: string): void {
		this.dropped([...this.admissions.keys()].filter((id) => id.startsWith(`${incarnation}.`)));
	}

	/** Records a start. Returns false if the worker refuses it, since it comes from a leader of an earlier term. */
	started(term: Uint64, task: QuotaTask): boolean {
		if (term < this.term) {
			this.dropped([task.id]);
			return false;
		}
		this.runs.set(task.id, { task, startedAt: this.now(), endedAt: null });
		return true;
	}

	ended(id: string): void {
		const run = this.runs.get(id);
		if (run) run.endedAt = this.now();
	}

	refused(team: string, size: QuotaTask["size"], at: number): void {
		this.refusals.push({ team, size: [size.cpus, size.gpus], at });
	}

	limitChanged(change: Omit<History["limitChanges"][number], "at">): void {
		this.limitChanges.push({ ...change, at: this.now() });
	}

	get runningTasks(): QuotaTask[] {
		return [...this.runs.values()].filter(({ endedAt }) => endedAt === null).map(({ task }) => task);
	}

	get startedTaskCount(): number {
		return this.runs.size;
	}

	/** Returns the delays from request to start at a worker, in milliseconds. */
	get startDelaysMs(): number[] {
		return [...this.runs.values()].map(({ task, startedAt }) => startedAt - task.admittedAt);
	}

	/** Returns the history in the form that the checker reads. */
	build(): History {
		const now = this.now();
		const tasks = [...this.admissions.values()].map(({ task, voidAt }) => {
			const run = this.runs.get(task.id);
			return { task, endedAt: run ? run.endedAt : Math.max(task.admittedAt, Math.min(voidAt, now)) };
		});
		for (const [id, { task, endedAt }] of this.runs)
			if (!this.admissions.has(id)) tasks.push({ task, endedAt });
		return {
			tasks: tasks.map(({ task: { id, team, size, admittedAt }, endedAt }) => ({
				id,
				team,
				size: [size.cpus, size.gpus],
				admittedAt,
				endedAt,
			})),
			refusals: this.refusals,
			limitChanges: this.limitChanges,
			maxInformationAgeMs: 3000,
		};
	}
}
