import { type Amount, demandAmount, inUnits, isNothing, nothing, plus, times, unlimited } from "./amount.js";
import type { Charge } from "./charges.js";
import type { AllotmentManager } from "./manager.js";
import type { TeamQuota } from "./team-quota.js";
import type { HolderReply, QuotaTerms } from "./terms.js";

/** The resources that one task of a team needs, in CPUs and accelerators. */
export interface TaskDemand {
	team: string;
	cpus: number;
	gpus: number;
}

/** A team's limit and guarantee, in CPUs and accelerators; Infinity is no limit. */
export interface UsableLimits {
	name: string;
	guaranteed: { cpus: number; gpus: number };
	limit: { cpus: number; gpus: number };
}

const amountOf = ({ cpus, gpus }: TaskDemand): Amount => demandAmount(cpus, gpus);
const oneThousandth: Amount = { cpus: 1, gpus: 1 };
/**
 * The largest rounding error of a task of 0.1 CPUs, relative to its size: sizes are rounded up to
 * thousandths.
 */
const roundingPart = 0.01;
/** The requested amount of the preferred controller, which receives everything that the others do not use. */
const everything: Amount = { cpus: unlimited, gpus: unlimited };

/** Team quota as the scheduler uses it: in CPUs and accelerators, and by terms of leadership. */
export class QuotaService {
	constructor(
		private readonly quota: TeamQuota,
		/** The key that the leader holds in the state service; its revision is the term. */
		private readonly leaderKey: string,
	) {}

	stored(key: string, value: unknown, revision: number): void {
		this.quota.stored(key, value, revision);
	}

	/**
	 * Returns the limit and guarantee in effect, or null if the team has no record and the platform's
	 * settings apply.
	 */
	limits(team: string): UsableLimits | null {
		const terms = this.quota.terms(team);
		if (!terms) return null;
		const { limit, guarantee } = terms;
		return {
			name: team,
			guaranteed: { cpus: inUnits(guarantee.cpus), gpus: inUnits(guarantee.gpus) },
			limit: { cpus: inUnits(limit.cpus), gpus: inUnits(limit.gpus) },
		};
	}

	takeTerms(term: number, terms: unknown): void {
		this.quota.takeTerms(term, terms);
	}

	/** Admits up to `maxCount` tasks of this size, and returns how many. */
	admit(demand: TaskDemand, most: number): number {
		const admission = this.quota.admit(demand.team, amountOf(demand), most);
		return admission.kind === "admitted" ? admission.count : 0;
	}

	withdraw(demand: TaskDemand, count: number): void {
		this.quota.withdraw(demand.team, amountOf(demand), count);
	}

	/** Closes the open batch and returns the reply to send with its admissions. */
	sendBatch(): HolderReply {
		this.quota.closeBatch();
		return this.quota.reply();
	}

	reply(): HolderReply {
		return this.quota.reply();
	}

	lead(term: number): LeaderQuota {
		const manager = this.quota.beginTerm({ key: this.leaderKey, revision: term });
		return new LeaderQuota(this.quota, manager);
	}
}

/** The leader's side, for one term. */
export class LeaderQuota {
	constructor(
		private readonly quota: TeamQuota,
		private readonly manager: AllotmentManager,
	) {}

	get self(): string {
		return this.quota.node;
	}

	/** Starts enforcing allotments. Called once all tasks of earlier leaders are charged. */
	start(): void {
		this.manager.start();
	}

	end(): void {
		this.quota.endTerm();
	}

	tick(): void {
		this.manager.tick();
	}

	/** Processes a holder's reply. Returns true if the admissions that came with it are valid. */
	heard(node: string, reply: unknown): boolean {
		return this.quota.heard(node, reply);
	}

	termsFor(node: string): QuotaTerms | undefined {
		return this.manager.termsFor(node) ?? undefined;
	}

	mayStart(demand: TaskDemand, admittedBy: string): boolean {
		return this.manager.mayStart(admittedBy, demand.team, amountOf(demand));
	}

	hasRoom(demand: TaskDemand, node: string): boolean {
		return this.manager.hasRoom(node, demand.team, amountOf(demand));
	}

	charge(demand: TaskDemand, admittedBy: string): Charge {
		return this.manager.charges.add(demand.team, admittedBy, amountOf(demand));
	}

	chargeFound(demand: TaskDemand): Charge {
		return this.manager.chargeFound(demand.team, amountOf(demand));
	}

	release(charge: Charge): void {
		this.manager.charges.release(charge);
	}

	/** Makes the preferred controller's allotment as large as possible; the others keep what they use. */
	prefer(team: string, preferred: string, nodes: readonly string[]): void {
		this.manager.prefer(preferred, team);
		for (const node of nodes) this.manager.want(node, team, node === preferred ? everything : nothing);
	}

	/**
	 * Requests an allotment for this many more tasks at the leader, whichever controller is preferred; 0
	 * ends the request.
	 */
	need(demand: TaskDemand, count: number): void {
		const { team } = demand;
		const more = times(amountOf(demand), count);
		const wanted = isNothing(more) ? nothing : plus(this.manager.charges.of(team, this.self), more);
		this.manager.want(this.self, team, wanted);
	}

	/**
	 * Compares the charges with the scheduler's own sums of the running tasks. These sums are not rounded, so
	 * the charges may be larger by a rounding error for each task.
	 */
	scrub(running: readonly TaskDemand[]): void {
		const counted = running.map((use): [string, { amount: Amount; tolerance: Amount }] => {
			const tolerance = demandAmount(use.cpus * roundingPart, use.gpus * roundingPart);
			return [use.team, { amount: amountOf(use), tolerance: plus(tolerance, oneThousandth) }];
		});
		this.manager.scrub(new Map(counted));
	}

	/** Returns the amount that the team runs above a lower limit that is pending, or null if there is none. */
	excess(team: string): { cpus: number; gpus: number } | null {
		const excess = this.manager.excess(team);
		return isNothing(excess) ? null : { cpus: inUnits(excess.cpus), gpus: inUnits(excess.gpus) };
	}
}
