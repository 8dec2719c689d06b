/** The next record of a team, given the state of its holders: a pure function of its input. */

import { type Amount, subtractAmounts, sumAmounts, zeroAmount } from "./amount.js";
import { anyBelowTarget, type HolderDemand, planAllotments } from "./planner.js";
import {
	allot,
	allotmentOf,
	capOf,
	ceiling,
	enforcePendingLimit,
	type LimitAndGuarantee,
	newRecord,
	type QuotaRecord,
	type RecallReason,
	recall,
	releaseReclaimed,
	requestLimit,
	revoke,
	sameLimitAndGuarantee,
	totalAllotted,
} from "./record.js";

/** The state of a controller that may hold a part of the team's limit. In lists the preferred one is first. */
export interface HolderState {
	node: string;
	incarnation: string;
	/** True if the controller has confirmed the amount that it may admit against now. */
	capConfirmed: boolean;
	used: Amount;
	requested: Amount;
}

/** The record of a team and the state by which it advances. */
export interface AdvanceInput {
	record: QuotaRecord;
	/** The team's limits in the platform's current settings. */
	settings: LimitAndGuarantee;
	/** The responsive controllers. */
	holders: readonly HolderState[];
	/** Nodes whose allotment belongs to a process that can no longer admit anything. */
	revocable: ReadonlySet<string>;
	/** True if allotments may move between live holders now. */
	mayMove: boolean;
	/** Wall-clock time in milliseconds, recorded with a changed limit for operators. */
	wallClockMs: number;
}

/** Returns the next record, given the state of its holders, or the same object if nothing has to be written. */
export function advanceRecord(input: AdvanceInput): QuotaRecord {
	let { record } = input;
	record = applyPlatformSettings(record, input.settings, input.wallClockMs);
	for (const node of input.revocable) record = revoke(record, node);
	for (const { node, capConfirmed, used } of input.holders)
		if (capConfirmed) record = releaseReclaimed(record, node, used);
	record = enforcePendingLimit(record);
	return distribute(record, input);
}

/** Returns the record of a team that has none yet. */
export function initialRecord(team: string, settings: LimitAndGuarantee): QuotaRecord {
	return newRecord(team, settings);
}

function applyPlatformSettings(
	record: QuotaRecord,
	settings: LimitAndGuarantee,
	wallClockMs: number,
): QuotaRecord {
	if (sameLimitAndGuarantee(record.settings, settings)) return record;
	return { ...requestLimit(record, settings, wallClockMs), settings };
}

function distribute(record: QuotaRecord, { holders, mayMove }: AdvanceInput): QuotaRecord {
	if (holders.length === 0) return record;
	const demands = holders.map(({ node, used, requested }): HolderDemand => {
		const held = capOf(allotmentOf(record, node));
		return { node, held, used, requested };
	});
	const holderNodes = new Set(holders.map(({ node }) => node));
	const heldByOtherNodes = sumAmounts(
		record.allotments.filter(({ node }) => !holderNodes.has(node)).map(({ amount }) => amount),
	);
	const plan = planAllotments(subtractAmounts(ceiling(record), heldByOtherNodes), demands);
	let next = record;
	const aboveCeiling = subtractAmounts(totalAllotted(record), ceiling(record));
	const exceedsCeiling = aboveCeiling.cpus > 0 || aboveCeiling.gpus > 0;
	if (exceedsCeiling || (mayMove && anyBelowTarget(demands, plan)))
		next = recallAbovePlan(next, plan, exceedsCeiling ? "limit lowered" : "wanted elsewhere");
	return allotUpToPlan(next, holders, plan);
}

/** Recalls from each holder what exceeds its planned amount. */
function recallAbovePlan(
	record: QuotaRecord,
	plan: ReadonlyMap<string, Amount>,
	reason: RecallReason,
): QuotaRecord {
	let next = record;
	for (const [node, target] of plan) next = recall(next, node, target, reason);
	return next;
}

function allotUpToPlan(
	record: QuotaRecord,
	holders: readonly HolderState[],
	plan: ReadonlyMap<string, Amount>,
): QuotaRecord {
	let next = record;
	for (const { node, incarnation } of holders) {
		const amount = allotmentOf(next, node)?.amount ?? zeroAmount;
		next = allot(next, node, incarnation, subtractAmounts(plan.get(node) ?? zeroAmount, amount));
	}
	return next;
}

/** Returns the limit and guarantee that apply to new tasks: a lower limit that is pending already applies. */
export function effectiveLimits(record: QuotaRecord): LimitAndGuarantee {
	const { guarantee } = record.pending ?? record.inForce;
	return { limit: ceiling(record), guarantee };
}

/** Returns the amount that the team uses above a lower limit that is pending. */
export function excessOverPendingLimit(record: QuotaRecord, used: Amount): Amount {
	return record.pending ? subtractAmounts(used, record.pending.limit) : zeroAmount;
}
