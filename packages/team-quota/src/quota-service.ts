import { type Amount, demandAmount, inUnits, isNothing, nothing, plus, times, unlimited } from "./amount.js";
import type { Charge } from "./charges.js";
import type { AllotmentManager } from "./manager.js";
import type { TeamQuota } from "./team-quota.js";
import type { HolderReply, QuotaTerms } from "./terms.js";

/** What one task takes, in CPUs and accelerators. */
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
/** Sizes are rounded up to thousandths, which is this part of a task of a tenth of a CPU. */
const roundingPart = 0.01;
/** The preferred controller is to hold all that nobody else asks for. */
const everything: Amount = { cpus: unlimited, gpus: unlimited };

/** Team quota as a scheduler uses it: in its own units, and by its own terms. */
export class QuotaService {
	constructor(
		private readonly quota: TeamQuota,
		/** The key that a leader holds, whose revision is its term. */
		private readonly leaderKey: string,
	) {}

	applyStoredValue(key: string, value: unknown, revision: number): void {
		this.quota.stored(key, value, revision);
	}

	/** What the team may use for now; null: the platform's settings say it. */
	effectiveLimits(team: string): UsableLimits | null {
		const terms = this.quota.terms(team);
		if (!terms) return null;
		const { limit, guarantee } = terms;
		return {
			name: team,
			guaranteed: { cpus: inUnits(guarantee.cpus), gpus: inUnits(guarantee.gpus) },
			limit: { cpus: inUnits(limit.cpus), gpus: inUnits(limit.gpus) },
		};
	}

	applyAllotmentUpdate(term: number, update: unknown): void {
		this.quota.takeTerms(term, update);
	}

	/** How many tasks of this size are admitted, of `most`. */
	admit(demand: TaskDemand, maxCount: number): number {
		const admission = this.quota.admit(demand.team, amountOf(demand), maxCount);
		return admission.kind === "admitted" ? admission.count : 0;
	}

	withdraw(demand: TaskDemand, count: number): void {
		this.quota.withdraw(demand.team, amountOf(demand), count);
	}

	/** The reply that goes with a batch of admissions. */
	closeBatch(): HolderReply {
		this.quota.closeBatch();
		return this.quota.reply();
	}

	reply(): HolderReply {
		return this.quota.reply();
	}

	beginTerm(term: number): LeaderQuota {
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

	get node(): string {
		return this.quota.node;
	}

	/** All tasks of earlier leaders are charged: from now on allotments count. */
	start(): void {
		this.manager.start();
	}

	end(): void {
		this.quota.endTerm();
	}

	tick(): void {
		this.manager.tick();
	}

	/** True: the admissions that came with the reply count. */
	handleReply(node: string, reply: unknown): boolean {
		return this.quota.heard(node, reply);
	}

	nextUpdate(node: string): QuotaTerms | undefined {
		return this.manager.termsFor(node) ?? undefined;
	}

	mayStart(demand: TaskDemand, admittedBy: string): boolean {
		return this.manager.mayStart(admittedBy, demand.team, amountOf(demand));
	}

	canAdmit(demand: TaskDemand, node: string): boolean {
		return this.manager.hasRoom(node, demand.team, amountOf(demand));
	}

	charge(demand: TaskDemand, admittedBy: string): Charge {
		return this.manager.charges.add(demand.team, admittedBy, amountOf(demand));
	}

	chargeUnattributed(demand: TaskDemand): Charge {
		return this.manager.chargeFound(demand.team, amountOf(demand));
	}

	release(charge: Charge): void {
		this.manager.charges.release(charge);
	}

	/** The controller whose allotment is to be as large as can be; the others keep what they use. */
	setPreferredHolder(team: string, preferred: string, nodes: readonly string[]): void {
		this.manager.prefer(preferred, team);
		for (const node of nodes) this.manager.want(node, team, node === preferred ? everything : nothing);
	}

	/** The leader itself is to admit so many tasks, whoever is preferred; 0: no longer. */
	setLeaderDemand(demand: TaskDemand, count: number): void {
		const { team } = demand;
		const more = times(amountOf(demand), count);
		const wanted = isNothing(more) ? nothing : plus(this.manager.charges.of(team, this.node), more);
		this.manager.want(this.node, team, wanted);
	}

	/** What runs by the scheduler's own count, which rounds nothing: charges may be more by a little for each task. */
	verifyCharges(running: readonly TaskDemand[]): void {
		const counted = running.map((use): [string, { amount: Amount; tolerance: Amount }] => {
			const tolerance = demandAmount(use.cpus * roundingPart, use.gpus * roundingPart);
			return [use.team, { amount: amountOf(use), tolerance: plus(tolerance, oneThousandth) }];
		});
		this.manager.scrub(new Map(counted));
	}

	/** What the team runs above a lower limit that is pending; null: nothing. */
	excessOverPendingLimit(team: string): { cpus: number; gpus: number } | null {
		const excess = this.manager.excess(team);
		return isNothing(excess) ? null : { cpus: inUnits(excess.cpus), gpus: inUnits(excess.gpus) };
	}
}
