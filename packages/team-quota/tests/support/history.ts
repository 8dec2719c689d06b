/**
 * Checks a history of admissions. The checker shares no code with the package: it uses limits, sizes and
 * times, and no allotments.
 */

/** CPUs and accelerators, in thousandths. */
export type Size = readonly [cpus: number, gpus: number];

export interface AdmittedTask {
	id: string;
	team: string;
	size: Size;
	admittedAt: number;
	/** When the task ended, was dropped, or could no longer start; null: it still runs. */
	endedAt: number | null;
}

export interface Refusal {
	team: string;
	size: Size;
	at: number;
}

export interface LimitChange {
	team: string;
	at: number;
	limit: Size;
	guarantee: Size;
}

export interface History {
	tasks: AdmittedTask[];
	/** Refusals because the team was at its limit. Waiting for a recall is not a refusal. */
	refusals: Refusal[];
	limits: LimitChange[];
	/** Maximum age of the information that a refusal is based on, in milliseconds. */
	staleMs: number;
}

/**
 * A start or end of a task, or a limit change. At equal times, ends come first, so that a slot can be
 * reused at once.
 */
interface Step {
	at: number;
	order: number;
	apply(): string | null;
}

/** Returns the violations of each team: those of its limit in the order of time, then unjustified refusals. */
export function faultsOf(history: History): string[] {
	const teams = new Set(history.limits.map(({ team }) => team));
	return [...teams].flatMap((team) => [...overshoots(history, team), ...wrongRefusals(history, team)]);
}

function overshoots({ tasks, limits }: History, team: string): string[] {
	let limit: Size = [0, 0];
	let cpus = 0;
	let gpus = 0;
	const look = (at: number, what: string) =>
		cpus > limit[0] || gpus > limit[1] ? `${at} ${team}: ${cpus},${gpus} above ${limit} at ${what}` : null;
	const steps: Step[] = [];
	for (const change of limits.filter((change) => change.team === team)) {
		const apply = () => {
			limit = change.limit;
			return look(change.at, "a change of limit");
		};
		steps.push({ at: change.at, order: 1, apply });
	}
	for (const task of tasks.filter((task) => task.team === team)) {
		const add = (sign: number) => {
			cpus += sign * task.size[0];
			gpus += sign * task.size[1];
			return sign > 0 ? look(task.admittedAt, task.id) : null;
		};
		steps.push({ at: task.admittedAt, order: 2, apply: () => add(1) });
		if (task.endedAt !== null) steps.push({ at: task.endedAt, order: 0, apply: () => add(-1) });
	}
	steps.sort((a, b) => a.at - b.at || a.order - b.order);
	return steps.map((step) => step.apply()).filter((fault) => fault !== null);
}

/**
 * A refusal is justified only if the task would have exceeded the guarantee, given what the team used at
 * the time.
 */
function wrongRefusals({ tasks, refusals, limits, staleMs }: History, team: string): string[] {
	const changes = limits.filter((change) => change.team === team);
	const faults: string[] = [];
	for (const { size, at } of refusals.filter((refusal) => refusal.team === team)) {
		const from = at - staleMs;
		const overlapping = tasks.filter(
			(task) => task.team === team && task.admittedAt <= at && (task.endedAt ?? at) >= from,
		);
		const most = (i: 0 | 1) => overlapping.reduce((sum, task) => sum + task.size[i], 0) + size[i];
		// The smallest guarantee of the limits in force in that period applies.
		const held = changes.filter((change, i) => change.at <= at && (changes[i + 1]?.at ?? at) >= from);
		const least = (i: 0 | 1) => Math.min(...held.map(({ guarantee }) => guarantee[i]));
		if (most(0) <= least(0) && most(1) <= least(1))
			faults.push(
				`${at} ${team}: ${size} refused with at most ${most(0)},${most(1)} of the guarantee in use`,
			);
	}
	return faults;
}

/** Returns the ids that were admitted more than once. */
export function doubled(tasks: readonly AdmittedTask[]): string[] {
	const seen = new Set<string>();
	return tasks.filter(({ id }) => seen.has(id) || !seen.add(id)).map(({ id }) => id);
}
