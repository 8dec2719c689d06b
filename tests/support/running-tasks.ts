import type { FakeCloud } from "./cloud.js";
import type { FakeTime } from "./fake-time.js";
import type { FakeWorker } from "./worker.js";
import { teamCpuLimits } from "./world-settings.js";

/** A submitted job, as the invariant checks track it. */
export interface TrackedJob {
	body: Record<string, unknown> & { pieces: number; cores: number };
	runS: number | number[];
	failsOnTypes: string[];
	cancelledAt: number | null;
	reportedStatuses: Set<string>;
}

/** The parts of a world that the checks of its tasks read, and the list to which they add. */
export interface CheckedWorld {
	readonly time: FakeTime;
	readonly cloud: FakeCloud;
	readonly workers: ReadonlyMap<string, FakeWorker>;
	readonly jobs: ReadonlyMap<string, TrackedJob>;
	/** Changed CPU limits of teams, which replace those of the settings. */
	readonly teamLimitOverrides: ReadonlyMap<string, number>;
	/** Violated invariants, in order. */
	readonly violations: string[];
}

/** Where each task runs, and the checks of the rules for running tasks. */
export class RunningTasks {
	/** Machines on which each task was started, in order. */
	readonly starts = new Map<string, string[]>();
	private readonly machineByTask = new Map<string, string>();
	private readonly doneTasks = new Set<string>();
	/** Time since which a job waits although one of its tasks could start and no fault is active. */
	private readonly waitingSince = new Map<string, number>();

	constructor(private readonly world: CheckedWorld) {}

	/** Returns the machine on which the task runs; undefined: it runs on none. */
	machineOf(task: string): string | undefined {
		return this.machineByTask.get(task);
	}

	/** True if the task has completed. */
	isDone(task: string): boolean {
		return this.doneTasks.has(task);
	}

	/** Records that a worker has started the task, and checks the rules for starts. */
	recordStart(worker: FakeWorker, task: string): void {
		const id = task.split("/")[0] as string;
		const job = this.world.jobs.get(id);
		this.starts.set(task, [...(this.starts.get(task) ?? []), worker.host]);
		if (!job) return void this.world.violations.push(`${task} started, but ${id} was not submitted`);
		const runningOn = this.machineByTask.get(task);
		if (runningOn !== undefined)
			this.world.violations.push(`ran_twice: ${task} on ${worker.host} while on ${runningOn}`);
		const { body } = job;
		if (Array.isArray(body.shapes) && !body.shapes.includes(worker.machineType))
			this.world.violations.push(`wrong_place: ${task} type`);
		if (typeof body.hall === "string" && body.hall !== worker.zone)
			this.world.violations.push(`wrong_place: ${task} zone`);
		if (worker.spot && body.loaners !== true) this.world.violations.push(`wrong_place: ${task} kind`);
		if (job.cancelledAt !== null && this.world.time.now() - job.cancelledAt > 37_000) {
			this.world.violations.push(`ran_cancelled: ${task}`);
		}
		this.machineByTask.set(task, worker.host);
		this.checkZones(id, body);
		this.checkQuota(String(body.desk));
	}

	/**
	 * Checks that without active faults no job waits for 90 s while a suitable machine has capacity and its team is
	 * under its limit. The state of the stand-in machines counts, not the leader's record of them.
	 */
	checkWaiting(faultsActive: boolean): void {
		const now = this.world.time.now();
		for (const [id, job] of this.world.jobs) {
			if (faultsActive || !this.canStart(id, job)) this.waitingSince.delete(id);
			else if (!this.waitingSince.has(id)) this.waitingSince.set(id, now);
			else if (now - (this.waitingSince.get(id) as number) > 90_000) {
				this.waitingSince.delete(id);
				this.world.violations.push(`waited: ${id} for 90 s, although a machine has capacity`);
			}
		}
	}

	/** True if no task of the array job (or not every replica of the service job) runs, although a machine could run one. */
	private canStart(id: string, { body, reportedStatuses, cancelledAt }: TrackedJob): boolean {
		if (reportedStatuses.size === 0 || cancelledAt !== null) return false;
		const tasks = Array.from({ length: body.pieces }, (_, i) => `${id}/${i}`);
		if (body.form !== "standing" && tasks.some((task) => this.machineByTask.has(task))) return false;
		if (tasks.every((task) => this.machineByTask.has(task) || this.doneTasks.has(task))) return false;
		const used = this.cpusInUse();
		const teamCpus = used.byTeam.get(String(body.desk)) ?? 0;
		if (teamCpus + body.cores > (teamCpuLimits[String(body.desk)] ?? 0)) return false;
		return [...this.world.workers].some(([host, worker]) => {
			const cores = this.world.cloud.types.find((t) => t.sku === worker.machineType)?.cores ?? 0;
			const fits = (used.byMachine.get(host) ?? 0) + body.cores <= cores;
			return fits && this.isUsable(host, worker) && this.meetsConstraints(id, body, worker);
		});
	}

	private cpusInUse(): { byMachine: Map<string, number>; byTeam: Map<string, number> } {
		const byMachine = new Map<string, number>();
		const byTeam = new Map<string, number>();
		for (const [task, host] of this.machineByTask) {
			const body = this.world.jobs.get(task.split("/")[0] as string)?.body;
			if (!body) continue;
			byMachine.set(host, (byMachine.get(host) ?? 0) + body.cores);
			byTeam.set(String(body.desk), (byTeam.get(String(body.desk)) ?? 0) + body.cores);
		}
		return { byMachine, byTeam };
	}

	private isUsable(host: string, worker: FakeWorker): boolean {
		return worker.healthy && worker.reclaimAt === null && this.world.cloud.hosts.has(host);
	}

	private meetsConstraints(id: string, body: TrackedJob["body"], worker: FakeWorker): boolean {
		const taskCounts = this.taskCountByZone(id);
		const hasTasksInOtherZone = [...taskCounts.keys()].some((zone) => zone !== worker.zone);
		return (
			(!Array.isArray(body.shapes) || body.shapes.includes(worker.machineType)) &&
			(typeof body.hall !== "string" || body.hall === worker.zone) &&
			(body.loaners === true || !worker.spot) &&
			!(body.one_zone === true && hasTasksInOtherZone) &&
			!(body.spread === true && (taskCounts.get(worker.zone) ?? 0) >= Math.ceil(body.pieces / 2))
		);
	}

	/** Returns the number of running tasks of the job by zone. */
	private taskCountByZone(id: string): Map<string, number> {
		const counts = new Map<string, number>();
		for (const [task, host] of this.machineByTask) {
			if (!task.startsWith(`${id}/`)) continue;
			const zone = this.world.workers.get(host)?.zone ?? "?";
			counts.set(zone, (counts.get(zone) ?? 0) + 1);
		}
		return counts;
	}

	private checkZones(id: string, body: TrackedJob["body"]): void {
		const taskCounts = this.taskCountByZone(id);
		if (body.one_zone === true && taskCounts.size > 1)
			this.world.violations.push(`wrong_place: ${id} in two zones`);
		const maxInZone = Math.max(...taskCounts.values());
		if (body.spread === true && maxInZone > Math.ceil(body.pieces / 2))
			this.world.violations.push(`wrong_place: ${id} not spread`);
	}

	private checkQuota(team: string): void {
		let usedCpus = 0;
		for (const task of this.machineByTask.keys()) {
			const body = this.world.jobs.get(task.split("/")[0] as string)?.body;
			if (body?.desk === team) usedCpus += body.cores;
		}
		if (usedCpus > (this.world.teamLimitOverrides.get(team) ?? teamCpuLimits[team] ?? 0) + 1e-9)
			this.world.violations.push(`quota: ${team} uses ${usedCpus}`);
	}

	/** Returns the number of running tasks of the job. */
	runningTaskCount(job: string): number {
		return [...this.machineByTask.keys()].filter((task) => task.startsWith(`${job}/`)).length;
	}

	/** Records that the task has ended on the worker. */
	recordEnd(worker: FakeWorker, task: string): void {
		if (this.machineByTask.get(task) === worker.host) this.machineByTask.delete(task);
		const reported = worker.heartbeatBody().pieces as { piece: string; cause?: string }[];
		if (reported.some((p) => p.piece === task && p.cause === "done")) this.doneTasks.add(task);
	}

	/** Checks that no task of a job runs 37 s (`cancel_s`) after its cancellation; also called at the end of a trace. */
	checkCancelled(): void {
		for (const task of this.machineByTask.keys()) {
			const job = this.world.jobs.get(task.split("/")[0] as string);
			if (job?.cancelledAt != null && this.world.time.now() - job.cancelledAt > 37_000) {
				this.world.violations.push(`ran_cancelled: ${task} still runs`);
			}
		}
	}
}
