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
	/** Time at which the task ended, was dropped, or could no longer start; null: it still runs. */
	endedAt: number | null;
	/** Time of the first start; null: the task has not started. */
	startedAt?: number | null;
	startCount?: number;
	/** Time from which the task was recorded as unable to start; null: it never was. */
	unableToStartSince?: number | null;
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
	limitChanges: LimitChange[];
	/** Maximum age of the information that a refusal is based on, in milliseconds. */
	maxInformationAgeMs: number;
}

/**
 * A start or end of a task, or a limit change. At equal times, ends come first, so that a slot can be
 * reused at once.
 */
interface HistoryEvent {
	at: number;
	order: number;
	apply(): string | null;
}

/**
 * Returns the violations of each team: those of its limit in the order of time, then unjustified refusals and invalid
 * starts.
 */
export function findViolations(history: History): string[] {
	const teams = new Set(history.limitChanges.map(({ team }) => team));
	return [...teams].flatMap((team) => [
		...limitViolations(history, team),
		...unjustifiedRefusals(history, team),
		...invalidStarts(history, team),
	]);
}

/** A task starts once at most, and never after it was recorded as unable to start. */
function invalidStarts({ tasks }: History, team: string): string[] {
	const faults: string[] = [];
	for (const { id, startedAt, startCount, unableToStartSince } of tasks.filter(
		(task) => task.team === team,
	)) {
		if (typeof startedAt !== "number") continue;
		if (typeof unableToStartSince === "number")
			faults.push(`${startedAt} ${team}: ${id} started, but was unable to start since ${unableToStartSince}`);
		if (startCount !== undefined && startCount > 1)
			faults.push(`${startedAt} ${team}: ${id} started ${startCount} times`);
	}
	return faults;
}

function limitViolations({ tasks, limitChanges }: History, team: string): string[] {
	let limit: Size = [0, 0];
	let cpus = 0;
	let gpus = 0;
	const checkUsage = (at: number, what: string) =>
		cpus > limit[0] || gpus > limit[1] ? `${at} ${team}: ${cpus},${gpus} above ${limit} at ${what}` : null;
	const events: HistoryEvent[] = [];
	for (const change of limitChanges.filter((change) => change.team === team)) {
		const apply = () => {
			limit = change.limit;
			return checkUsage(change.at, "a change of limit");
		};
		events.push({ at: change.at, order: 1, apply });
	}
	for (const task of tasks.filter((task) => task.team === team)) {
		const add = (sign: number) => {
			cpus += sign * task.size[0];
			gpus += sign * task.size[1];
			return sign > 0 ? checkUsage(task.admittedAt, task.id) : null;
		};
		events.push({ at: task.admittedAt, order: 2, apply: () => add(1) });
		if (task.endedAt !== null) events.push({ at: task.endedAt, order: 0, apply: () => add(-1) });
	}
	events.sort((a, b) => a.at - b.at || a.order - b.order);
	return events.map((step) => step.apply()).filter((fault) => fault !== null);
}

/**
 * A refusal is justified only if the task would have exceeded the guarantee, given what the team used at
 * the time.
 */
function unjustifiedRefusals(
	{ tasks, refusals, limitChanges, maxInformationAgeMs }: History,
	team: string,
): string[] {
	const changes = limitChanges.filter((change) => change.team === team);
	const faults: string[] = [];
	for (const { size, at } of refusals.filter((refusal) => refusal.team === team)) {
		const from = at - maxInformationAgeMs;
		const overlapping = tasks.filter(
			(task) => task.team === team && task.admittedAt <= at && (task.endedAt ?? at) >= from,
		);
		const maxUsed = (i: 0 | 1) => overlapping.reduce((sum, task) => sum + task.size[i], 0) + size[i];
		// The smallest guarantee of the limits in force in that period applies.
		const limitsInForce = changes.filter(
			(change, i) => change.at <= at && (changes[i + 1]?.at ?? at) >= from,
		);
		const minGuarantee = (i: 0 | 1) => Math.min(...limitsInForce.map(({ guarantee }) => guarantee[i]));
		if (maxUsed(0) <= minGuarantee(0) && maxUsed(1) <= minGuarantee(1))
			faults.push(
				`${at} ${team}: ${size} refused with at most ${maxUsed(0)},${maxUsed(1)} of the guarantee in use`,
			);
	}
	return faults;
}

/** Returns the ids that were admitted more than once. */
export function duplicateIds(tasks: readonly AdmittedTask[]): string[] {
	const seen = new Set<string>();
	return tasks.filter(({ id }) => seen.has(id) || !seen.add(id)).map(({ id }) => id);
}
