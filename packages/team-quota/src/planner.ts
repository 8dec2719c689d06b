/** The division of a team's limit among its holders: pure functions. */

import { type Amount, maxAmount, minAmount, subtractAmounts } from "./amount.js";

/** The planner's input for one controller and one team. */
export interface HolderDemand {
	node: string;
	/** The amount that the controller may admit against now. */
	held: Amount;
	/** The amount that its running and admitted tasks use. */
	used: Amount;
	/** The amount that its tasks would use if all its waiting tasks ran, too. */
	requested: Amount;
}

/**
 * Divides the amount that a team may use among controllers. The division is max-min fair: no controller
 * gets more while another one that requests more has less, except that amounts in use stay where they are.
 * To move little, an amount that no controller requests stays with its holder, and an amount that no
 * controller holds goes to the first one.
 */
export function planAllotments(ceiling: Amount, holders: readonly HolderDemand[]): Map<string, Amount> {
	const planFor = (select: (amount: Amount) => number) =>
		planDimension(select(ceiling), holders.map(demandIn(select)));
	const cpus = planFor((amount) => amount.cpus);
	const gpus = planFor((amount) => amount.gpus);
	return new Map(holders.map(({ node }, i) => [node, { cpus: cpus[i] ?? 0, gpus: gpus[i] ?? 0 }]));
}

interface DimensionDemand {
	held: number;
	used: number;
	requested: number;
}

function demandIn(select: (amount: Amount) => number): (demand: HolderDemand) => DimensionDemand {
	return ({ held, used, requested }) => ({
		held: select(held),
		used: select(used),
		requested: Math.max(select(used), select(requested)),
	});
}

function planDimension(ceiling: number, holders: DimensionDemand[]): number[] {
	const used = holders.map((holder) => holder.used);
	// After a limit was lowered, more may be in use than the ceiling: then the ceiling is divided by use.
	if (total(used) >= ceiling) return fillEvenly(ceiling, used, 0, used);
	const shares = fillEvenly(
		ceiling,
		holders.map((holder) => holder.requested),
		0,
		used,
		used,
	);
	return assignUnrequested(ceiling, holders, shares);
}

function total(values: number[]): number {
	return values.reduce((sum, value) => sum + value, 0);
}

/**
 * Raises one common level, by bisection, until the shares reach the capacity. Each share is the level, but
 * at most the requested amount and at least its minimum.
 */
function fillEvenly(
	capacity: number,
	requestedAmounts: number[],
	lowestLevel: number,
	levelBounds: number[],
	minimums: number[] = [],
): number[] {
	const sharesAt = (level: number) =>
		requestedAmounts.map((requested, i) =>
			Math.max(minimums[i] ?? 0, Math.min(requested, Math.floor(level))),
		);
	if (total(sharesAt(Number.MAX_SAFE_INTEGER)) <= capacity) return sharesAt(Number.MAX_SAFE_INTEGER);
	let low = lowestLevel;
	let high = Math.max(...requestedAmounts, ...levelBounds);
	while (high - low > 1) {
		const middle = Math.floor((low + high) / 2);
		if (total(sharesAt(middle)) <= capacity) low = middle;
		else high = middle;
	}
	const shares = sharesAt(low);
	// The remaining thousandths go to the first holders whose requested amounts are not reached.
	let remaining = capacity - total(shares);
	return shares.map((share, i) => {
		if (remaining <= 0 || share >= (requestedAmounts[i] ?? 0)) return share;
		remaining -= 1;
		return share + 1;
	});
}

/**
 * Leaves the rest of the ceiling, which no controller requests, with its holders, and the part without a
 * holder to the first.
 */
function assignUnrequested(ceiling: number, holders: DimensionDemand[], shares: number[]): number[] {
	let remaining = ceiling - total(shares);
	const allotments = shares.map((share, i) => {
		const retained = Math.min(remaining, Math.max(0, (holders[i]?.held ?? 0) - share));
		remaining -= retained;
		return share + retained;
	});
	if (allotments.length > 0) allotments[0] = (allotments[0] ?? 0) + remaining;
	return allotments;
}

/** True if a controller uses or requests more than it may admit against, and the plan gives it more. */
export function anyBelowTarget(holders: readonly HolderDemand[], plan: ReadonlyMap<string, Amount>): boolean {
	return holders.some(({ node, held, used, requested }) => {
		const target = plan.get(node);
		if (!target) return false;
		const shortfall = subtractAmounts(minAmount(target, maxAmount(requested, used)), held);
		return shortfall.cpus > 0 || shortfall.gpus > 0;
	});
}
