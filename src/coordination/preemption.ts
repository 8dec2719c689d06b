import type { Attempt, Job } from "../bookkeeping/jobs.js";
import { type Machine, machineAllowed } from "../bookkeeping/machines.js";
import type { Tables } from "./tables.js";

/**
 * Which running tasks to stop so that waiting ones of more right can start. Only
 * two reasons count: higher priority, or a team's guarantee against work that
 * another team runs beyond its own.
 */

const mostPerPass = 8;
const slack = 1e-6;
/** Nothing is stopped for tasks that places freed in this time will hold. */
const turnoverS = 1;

/**
 * Places that come free by themselves before long. A large fleet with short tasks frees
 * dozens a second, and whoever is first in the order of service gets them: stopping
 * work there throws it away for nothing.
 */
export function placesSoonFree(tables: Tables): { all: number; byTeam: Map<string, number> } {
	let all = 0;
	const byTeam = new Map<string, number>();
	for (const job of tables.jobs.values()) {
		const places = (turnoverS * job.attempts.size) / job.estimateS;
		all += places;
		byTeam.set(job.spec.team, (byTeam.get(job.spec.team) ?? 0) + places);
	}
	return { all, byTeam };
}

/** Core seconds thrown away by stopping the attempt now. */
export function costOfStopping(attempt: Attempt, now: number): number {
	const { spec } = attempt.job;
	if (attempt.runningAt === null) return 0;
	const elapsedS = (now - attempt.runningAt) / 1000;
	const lost = spec.checkpointS > 0 ? Math.min(elapsedS, spec.saveS) : elapsedS;
	return lost * spec.cpus;
}

function stoppable(attempt: Attempt): boolean {
	return attempt.stop === null && attempt.phase !== "assigned" && attempt.phase !== "saving";
}

/** Work mostly done is not thrown away. */
function young(attempt: Attempt, now: number): boolean {
	if (attempt.runningAt === null || attempt.job.spec.checkpointS > 0) return true;
	return now - attempt.runningAt < 0.5 * attempt.job.estimateS * 1000;
}

function beyondGuarantee(tables: Tables, team: string, freedCpus: number): boolean {
	const limits = tables.quotas.team(team);
	return limits !== undefined && tables.quotas.use(team).cpus - freedCpus > limits.cpus + slack;
}

export function chooseVictims(tables: Tables, waiting: Job[], now: number): Attempt[] {
	const victims: Attempt[] = [];
	const freed = new Map<string, number>();
	const freedOn = new Map<Machine, { cpus: number; memory: number; gpus: number }>();
	const free = (attempt: Attempt) => {
		const { spec } = attempt.job;
		freed.set(spec.team, (freed.get(spec.team) ?? 0) + spec.cpus);
		const on = freedOn.get(attempt.machine) ?? { cpus: 0, memory: 0, gpus: 0 };
		on.cpus += spec.cpus;
		on.memory += spec.memoryGb;
		on.gpus += spec.gpus;
		freedOn.set(attempt.machine, on);
	};
	const take = (attempt: Attempt) => {
		victims.push(attempt);
		free(attempt);
	};
	// What was stopped before and has not ended yet is on its way to being free.
	for (const machine of tables.machines.values()) {
		for (const attempt of machine.attempts.values()) if (attempt.stop !== null) free(attempt);
	}
	/** Cores and memory that waiting jobs of more right will take. */
	const promised = new Map<Machine, { cpus: number; memory: number; gpus: number }>();
	const roomOn = (machine: Machine, job: Job) => {
		const f = freedOn.get(machine) ?? { cpus: 0, memory: 0, gpus: 0 };
		const p = promised.get(machine) ?? { cpus: 0, memory: 0, gpus: 0 };
		const { spec } = job;
		return {
			cpus: machine.freeCpus + f.cpus - p.cpus - spec.cpus,
			memory: machine.freeMemory + f.memory - p.memory - spec.memoryGb,
			gpus: machine.freeGpus + f.gpus - p.gpus - spec.gpus,
		};
	};
	const promise = (machine: Machine, job: Job) => {
		const p = promised.get(machine) ?? { cpus: 0, memory: 0, gpus: 0 };
		p.cpus += job.spec.cpus;
		p.memory += job.spec.memoryGb;
		p.gpus += job.spec.gpus;
		promised.set(machine, p);
	};
	const enough = (room: { cpus: number; memory: number; gpus: number }) =>
		room.cpus >= -slack && room.memory >= -slack && room.gpus >= -slack;

	const soonFree = placesSoonFree(tables);
	for (const job of waiting) {
		const { spec } = job;
		const limits = tables.quotas.team(spec.team);
		if (!limits) continue;
		const urgent = job.rank < 2;
		// A team at its limit gets only the places that it frees itself.
		const atLimit = !tables.quotas.fitsLimit(spec.team, spec.cpus, spec.gpus);
		const own = soonFree.byTeam.get(spec.team) ?? 0;
		const served = Math.floor(Math.min(soonFree.all, atLimit ? own : soonFree.all, job.waiting.length));
		soonFree.all -= served;
		if (atLimit) soonFree.byTeam.set(spec.team, own - served);
		let left = Math.min(job.waiting.length - served, mostPerPass);
		while (left > 0 && victims.length < mostPerPass * 3) {
			left -= 1;
			const used = () => tables.quotas.use(spec.team).cpus - (freed.get(spec.team) ?? 0) + spec.cpus;
			// Its own team's limit comes first: lower work of the same team makes room.
			if (urgent) {
				const own = ownVictims(tables, job, now).filter((a) => !victims.includes(a));
				while (used() > limits.cpus_max + slack) {
					const next = own.shift();
					if (!next) break;
					take(next);
				}
			}
			if (used() > limits.cpus_max + slack) break;
			const withinGuarantee = used() <= limits.cpus + slack;
			const open = [...tables.machines.values()].filter(
				(m) => m.open && !m.suspect && machineAllowed(spec, m),
			);
			const fitting = open.find((m) => enough(roomOn(m, job)));
			if (fitting) {
				promise(fitting, job);
				freed.set(spec.team, (freed.get(spec.team) ?? 0) - spec.cpus);
				continue;
			}
			if (!urgent && !withinGuarantee) break;
			const plan = cheapestPlan(open, job, now, (a) => {
				if (victims.includes(a) || !stoppable(a) || !young(a, now)) return false;
				const other = a.job.spec.team;
				if (other === spec.team) return urgent && a.job.rank > job.rank;
				// Placing serves guarantees before borrowing. Taking a guaranteed place for borrowed
				// work would only have it taken back, each time at the cost of what had run.
				const borrowed = beyondGuarantee(
					tables,
					other,
					(freed.get(other) ?? 0) + a.job.spec.cpus - slack * 2,
				);
				if (urgent && a.job.rank > job.rank) return withinGuarantee || borrowed;
				return withinGuarantee && borrowed && a.job.rank >= job.rank;
			});
			if (!plan) break;
			for (const attempt of plan.attempts) take(attempt);
			promise(plan.machine, job);
			freed.set(spec.team, (freed.get(spec.team) ?? 0) - spec.cpus);
		}

		function cheapestPlan(open: Machine[], wanting: Job, at: number, eligible: (a: Attempt) => boolean) {
			let best: { machine: Machine; attempts: Attempt[]; cost: number } | null = null;
			for (const machine of open) {
				const room = roomOn(machine, wanting);
				const attempts: Attempt[] = [];
				let cost = 0;
				const candidates = [...machine.attempts.values()]
					.filter(eligible)
					.sort((a, b) => costOfStopping(a, at) - costOfStopping(b, at));
				for (const a of candidates) {
					if (enough(room)) break;
					attempts.push(a);
					cost += costOfStopping(a, at);
					room.cpus += a.job.spec.cpus;
					room.memory += a.job.spec.memoryGb;
					room.gpus += a.job.spec.gpus;
				}
				if (enough(room) && (best === null || cost < best.cost)) best = { machine, attempts, cost };
			}
			return best;
		}
	}
	return victims;
}

/** Lower work of the job's own team, what costs least first. */
function ownVictims(tables: Tables, job: Job, now: number): Attempt[] {
	const own: Attempt[] = [];
	for (const other of tables.jobs.values()) {
		if (other.spec.team !== job.spec.team || other.rank <= job.rank) continue;
		for (const a of other.attempts.values()) if (stoppable(a) && young(a, now)) own.push(a);
	}
	return own.sort((a, b) => costOfStopping(a, now) - costOfStopping(b, now));
}
