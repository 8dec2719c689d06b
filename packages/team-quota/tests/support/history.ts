/**
 * Reads a history of admissions and says what is wrong with it. It shares no code with what it checks:
 * it knows limits, sizes and times, and nothing of allotments.
 */

/** CPUs and accelerators, in thousandths. */
export type Size = readonly [cpus: number, gpus: number];

export interface AdmittedTask {
	id: string;
	team: string;
	size: Size;
	admittedAt: number;
	/** When it was over, was dropped, or could no longer start; null: it still runs. */
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
	/** Refused since the team was at its limit. Waits for a recall are no refusals. */
	refusals: Refusal[];
	limits: LimitChange[];
	/** What a refusal goes by may be so old. */
	staleMs: number;
}

/** Tasks or limits come and go; at one moment ends go first, so that places can change hands in it. */
interface Step {
	at: number;
	order: number;
	apply(): string | null;
}

/** All that a history shows to be wrong, in the order of time. */
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

/** A team is refused something only if it did use so much that this would not have been within its guarantee. */
function wrongRefusals({ tasks, refusals, limits, staleMs }: History, team: string): string[] {
	const changes = limits.filter((change) => change.team === team);
	const faults: string[] = [];
	for (const { size, at } of refusals.filter((refusal) => refusal.team === team)) {
		const from = at - staleMs;
		const overlapping = tasks.filter(
			(task) => task.team === team && task.admittedAt <= at && (task.endedAt ?? at) >= from,
		);
		const most = (i: 0 | 1) => overlapping.reduce((sum, task) => sum + task.size[i], 0) + size[i];
		// Of limits that held in that time the least guarantee.
		const held = changes.filter((change, i) => change.at <= at && (changes[i + 1]?.at ?? at) >= from);
		const least = (i: 0 | 1) => Math.min(...held.map(({ guarantee }) => guarantee[i]));
		if (most(0) <= least(0) && most(1) <= least(1))
			faults.push(
				`${at} ${team}: ${size} refused with at most ${most(0)},${most(1)} of the guarantee in use`,
			);
	}
	return faults;
}

/** Ids that were admitted more than once. */
export function doubled(tasks: readonly AdmittedTask[]): string[] {
	const seen = new Set<string>();
	return tasks.filter(({ id }) => seen.has(id) || !seen.add(id)).map(({ id }) => id);
}
