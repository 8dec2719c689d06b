import { type Amount, greater, lesser, minus } from "./amount.js";

/** The planner's input for one controller and one team. */
export interface HolderNeeds {
	node: string;
	/** The amount that the controller may admit against now. */
	held: Amount;
	/** The amount that its running and admitted tasks use. */
	used: Amount;
	/** The amount that its tasks would use if all its waiting tasks ran, too. */
	wanted: Amount;
}

/**
 * Divides the amount that a team may use among controllers. The division is max-min fair: no controller
 * gets more while another one that requests more has less, except that amounts in use stay where they are.
 * To move little, an amount that no controller requests stays with its holder, and an amount that no
 * controller holds goes to the first one.
 */
export function planAllotments(ceiling: Amount, holders: readonly HolderNeeds[]): Map<string, Amount> {
	const planOf = (of: (amount: Amount) => number) => planDimension(of(ceiling), holders.map(dimensionOf(of)));
	const cpus = planOf((amount) => amount.cpus);
	const gpus = planOf((amount) => amount.gpus);
	return new Map(holders.map(({ node }, i) => [node, { cpus: cpus[i] ?? 0, gpus: gpus[i] ?? 0 }]));
}

interface Needs {
	held: number;
	used: number;
	wanted: number;
}

function dimensionOf(of: (amount: Amount) => number): (needs: HolderNeeds) => Needs {
	return ({ held, used, wanted }) => ({
		held: of(held),
		used: of(used),
		wanted: Math.max(of(used), of(wanted)),
	});
}

function planDimension(ceiling: number, holders: Needs[]): number[] {
	const used = holders.map((holder) => holder.used);
	// After a limit was lowered, more may be in use than the ceiling: then the ceiling is divided by use.
	if (total(used) >= ceiling) return fill(ceiling, used, 0, used);
	const shares = fill(
		ceiling,
		holders.map((holder) => holder.wanted),
		0,
		used,
		used,
	);
	return keepRest(ceiling, holders, shares);
}

function total(values: number[]): number {
	return values.reduce((sum, value) => sum + value, 0);
}

/**
 * Finds by bisection the highest common level whose shares fit into the capacity. Each share is the level,
 * but at least its minimum and at most the requested amount.
 */
function fill(
	sum: number,
	wants: number[],
	lowest: number,
	heights: number[],
	floors: number[] = [],
): number[] {
	const at = (level: number) =>
		wants.map((want, i) => Math.max(floors[i] ?? 0, Math.min(want, Math.floor(level))));
	if (total(at(Number.MAX_SAFE_INTEGER)) <= sum) return at(Number.MAX_SAFE_INTEGER);
	let low = lowest;
	let high = Math.max(...wants, ...heights);
	while (high - low > 1) {
		const middle = Math.floor((low + high) / 2);
		if (total(at(middle)) <= sum) low = middle;
		else high = middle;
	}
	const shares = at(low);
	// The remaining thousandths go to the first holders that requested more.
	let left = sum - total(shares);
	return shares.map((share, i) => {
		if (left <= 0 || share >= (wants[i] ?? 0)) return share;
		left -= 1;
		return share + 1;
	});
}

/**
 * Leaves the rest of the ceiling, which no controller requests, with its holders, and the part without a
 * holder to the first.
 */
function keepRest(ceiling: number, holders: Needs[], shares: number[]): number[] {
	let left = ceiling - total(shares);
	const kept = shares.map((share, i) => {
		const more = Math.min(left, Math.max(0, (holders[i]?.held ?? 0) - share));
		left -= more;
		return share + more;
	});
	if (kept.length > 0) kept[0] = (kept[0] ?? 0) + left;
	return kept;
}

/** True if a controller uses or requests more than it may admit against, and the plan gives it more. */
export function anyShort(holders: readonly HolderNeeds[], plan: ReadonlyMap<string, Amount>): boolean {
	return holders.some(({ node, held, used, wanted }) => {
		const target = plan.get(node);
		if (!target) return false;
		const lacking = minus(lesser(target, greater(wanted, used)), held);
		return lacking.cpus > 0 || lacking.gpus > 0;
	});
}
