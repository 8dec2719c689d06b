/** Team quota as the scheduler uses it. */

import {
	type Amount,
	addAmounts,
	demandAmount,
	inUnits,
	isZeroAmount,
	multiplyAmount,
	unlimited,
	zeroAmount,
} from "./amount.js";
import type { Charge } from "./charges.js";
import type { AllotmentUpdate, HolderReply } from "./holder-messages.js";
import type { AllotmentManager } from "./manager.js";
import type { QuotaParticipant } from "./quota-participant.js";
import type { Uint64 } from "./uint64.js";

/** The resources that one task of a team needs, in CPUs and accelerators. */
export interface TaskDemand {
	team: string;
	cpus: number;
	gpus: number;
}

/** A team's limit and guarantee, in CPUs and accelerators; Infinity is no limit. */
export interface EffectiveLimits {
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
const roundingFraction = 0.01;
/** The requested amount of the preferred controller, which receives everything that the others do not use. */
const unlimitedAmount: Amount = { cpus: unlimited, gpus: unlimited };

/** Team quota as the scheduler uses it: in CPUs and accelerators, and by terms of leadership. */
export class QuotaService {
	constructor(
		private readonly participant: QuotaParticipant,
		/** The key that the leader holds in the state service; its revision is the term. */
		private readonly leaderKey: string,
	) {}

	applyStoredValue(key: string, value: unknown, revision: Uint64): void {
		this.participant.applyStoredValue(key, value, revision);
	}

	/**
	 * Returns the limit and guarantee in effect, or null if the team has no record and the platform's
	 * settings apply.
	 */
	effectiveLimits(team: string): EffectiveLimits | null {
		const limits = this.participant.effectiveLimits(team);
		if (!limits) return null;
		const { limit, guarantee } = limits;
		return {
			name: team,
			guaranteed: inUnits(guarantee),
			limit: inUnits(limit),
		};
	}

	applyAllotmentUpdate(term: Uint64, update: unknown): void {
		this.participant.applyAllotmentUpdate(term, update);
	}

	/** Admits up to `maxCount` tasks of this size, and returns how many. */
	admit(demand: TaskDemand, maxCount: number): number {
		const admission = this.participant.admit(demand.team, amountOf(demand), maxCount);
		return admission.kind === "admitted" ? admission.count : 0;
	}

	withdraw(demand: TaskDemand, count: number): void {
		this.participant.withdraw(demand.team, amountOf(demand), count);
	}

	/** Closes the open batch and returns the reply to send with its admissions. */
	closeBatch(): HolderReply {
		this.participant.closeBatch();
		return this.participant.reply();
	}

	reply(): HolderReply {
		return this.participant.reply();
	}

	beginTerm(term: Uint64): LeaderQuota {
		const manager = this.participant.beginTerm({ key: this.leaderKey, revision: term });
		return new LeaderQuota(this.participant, manager);
	}
}

/** The leader's side, for one term. */
export class LeaderQuota {
	constructor(
		private readonly participant: QuotaParticipant,
		private readonly manager: AllotmentManager,
	) {}

	get node(): string {
		return this.participant.node;
	}

	/** Starts enforcing allotments. Called once all tasks of earlier leaders are charged. */
	start(): void {
		this.manager.start();
	}

	end(): void {
		this.participant.endTerm();
	}

	tick(): void {
		this.manager.tick();
	}

	/** Processes a holder's reply. Returns true if the admissions that came with it are valid. */
	handleReply(node: string, reply: unknown): boolean {
		return this.participant.handleReply(node, reply);
	}

	nextUpdate(node: string): AllotmentUpdate | undefined {
		return this.manager.nextUpdate(node) ?? undefined;
	}

	mayStart(demand: TaskDemand, admittedBy: string): boolean {
		return this.manager.mayStart(admittedBy, demand.team, amountOf(demand));
	}

	canAdmit(demand: TaskDemand, node: string): boolean {
		return this.manager.canAdmit(node, demand.team, amountOf(demand));
	}

	charge(demand: TaskDemand, admittedBy: string): Charge {
		return this.manager.charges.add(demand.team, admittedBy, amountOf(demand));
	}

	chargeUnattributed(demand: TaskDemand): Charge {
		return this.manager.chargeUnattributed(demand.team, amountOf(demand));
	}

	release(charge: Charge): void {
		this.manager.charges.release(charge);
	}

	/** Makes the preferred controller's allotment as large as possible; the others keep what they use. */
	setPreferredHolder(team: string, preferred: string, nodes: readonly string[]): void {
		this.manager.setPreferredHolder(preferred, team);
		for (const node of nodes)
			this.manager.setRequestedAmount(node, team, node === preferred ? unlimitedAmount : zeroAmount);
	}

	/**
	 * Requests an allotment for this many more tasks at the leader, whichever controller is preferred; 0
	 * ends the request.
	 */
	setLeaderDemand(demand: TaskDemand, count: number): void {
		const { team } = demand;
		const additional = multiplyAmount(amountOf(demand), count);
		const requested = isZeroAmount(additional)
			? zeroAmount
			: addAmounts(this.manager.charges.chargedTo(team, this.node), additional);
		this.manager.setRequestedAmount(this.node, team, requested);
	}

	/**
	 * Compares the charges with the scheduler's own sums of the running tasks. These sums are not rounded, so
	 * the charges may be larger by a rounding error for each task.
	 */
	verifyCharges(running: readonly TaskDemand[]): void {
		const amounts = running.map((usage): [string, { amount: Amount; tolerance: Amount }] => {
			const tolerance = demandAmount(usage.cpus * roundingFraction, usage.gpus * roundingFraction);
			return [usage.team, { amount: amountOf(usage), tolerance: addAmounts(tolerance, oneThousandth) }];
		});
		this.manager.verifyCharges(new Map(amounts));
	}

	/** Returns the amount that the team runs above a lower limit that is pending, or null if there is none. */
	excessOverPendingLimit(team: string): { cpus: number; gpus: number } | null {
		const excess = this.manager.excessOverPendingLimit(team);
		return isZeroAmount(excess) ? null : inUnits(excess);
	}
}
