import { type Amount, greater, lesser, minus } from "./amount.js";

/** One controller as the planner sees it, for one team. */
export interface HolderNeeds {
	node: string;
	/** What it may admit against now. */
	held: Amount;
	/** What its running and admitted tasks take. */
	used: Amount;
	/** What its tasks would take if all that wait there could run. */
	wanted: Amount;
}

/**
 * Divides what a team may use among controllers. Max-min fair: nobody gets more while another
 * who wants it has less, but what is in use stays where it is. What nobody wants stays with who
 * holds it, and what nobody holds goes to the first, so that little moves.
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
	// After a limit was lowered more may be in use than there is: then that is shared out.
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

/** Raises one common level until the sum is reached: each gets the level, at least its floor, at most its want. */
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
	// The thousandths that are left over go to the first that want them.
	let left = sum - total(shares);
	return shares.map((share, i) => {
		if (left <= 0 || share >= (wants[i] ?? 0)) return share;
		left -= 1;
		return share + 1;
	});
}

/** What is wanted by nobody stays with its holders. */
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

/** Whether somebody uses or wants more than it may admit against, and has less than its share. */
export function anyShort(holders: readonly HolderNeeds[], plan: ReadonlyMap<string, Amount>): boolean {
	return holders.some(({ node, held, used, wanted }) => {
		const target = plan.get(node);
		if (!target) return false;
		const lacking = minus(lesser(target, greater(wanted, used)), held);
		return lacking.cpus > 0 || lacking.gpus > 0;
	});
}
