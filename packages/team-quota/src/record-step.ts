import { type Amount, minus, nothing, sum } from "./amount.js";
import { anyShort, type HolderNeeds, planAllotments } from "./planner.js";
import {
	allot,
	allotmentOf,
	allotted,
	capOf,
	ceiling,
	enforcePending,
	type LimitTerms,
	newRecord,
	type QuotaRecord,
	type RecallReason,
	recall,
	requestLimit,
	revoke,
	sameTerms,
	settleRecall,
} from "./record.js";

/** The state of a controller that may hold a part of the team's limit. In lists the preferred one is first. */
export interface HolderView {
	node: string;
	incarnation: string;
	/** True if the controller has confirmed the amount that it may admit against now. */
	knowsCap: boolean;
	used: Amount;
	wanted: Amount;
}

export interface StepInput {
	record: QuotaRecord;
	/** The team's limits in the platform's current settings. */
	settings: LimitTerms;
	/** The responsive controllers. */
	holders: readonly HolderView[];
	/** Nodes whose allotment belongs to a process that can no longer admit anything. */
	lost: ReadonlySet<string>;
	/** True if allotments may move between live holders now. */
	mayMove: boolean;
	/** Wall-clock time in milliseconds, recorded with a changed limit for operators. */
	date: number;
}

/** Returns the next record, given the state of its holders, or the same object if nothing has to be written. */
export function stepRecord(input: StepInput): QuotaRecord {
	let { record } = input;
	record = takeOverSettings(record, input.settings, input.date);
	for (const node of input.lost) record = revoke(record, node);
	for (const { node, knowsCap, used } of input.holders)
		if (knowsCap) record = settleRecall(record, node, used);
	record = enforcePending(record);
	return divide(record, input);
}

/** Returns the record of a team that has none yet. */
export function firstRecord(team: string, settings: LimitTerms): QuotaRecord {
	return newRecord(team, settings);
}

function takeOverSettings(record: QuotaRecord, settings: LimitTerms, date: number): QuotaRecord {
	if (sameTerms(record.settings, settings)) return record;
	return { ...requestLimit(record, settings, date), settings };
}

function divide(record: QuotaRecord, { holders, mayMove }: StepInput): QuotaRecord {
	if (holders.length === 0) return record;
	const needs = holders.map(({ node, used, wanted }): HolderNeeds => {
		const held = capOf(allotmentOf(record, node));
		return { node, held, used, wanted };
	});
	const here = new Set(holders.map(({ node }) => node));
	const away = sum(record.allotments.filter(({ node }) => !here.has(node)).map(({ amount }) => amount));
	const plan = planAllotments(minus(ceiling(record), away), needs);
	let next = record;
	const over = minus(allotted(record), ceiling(record));
	const lowered = over.cpus > 0 || over.gpus > 0;
	if (lowered || (mayMove && anyShort(needs, plan)))
		next = recallTo(next, plan, lowered ? "limit lowered" : "wanted elsewhere");
	return allotTo(next, holders, plan);
}

/** Recalls from each holder what exceeds its planned amount. */
function recallTo(record: QuotaRecord, plan: ReadonlyMap<string, Amount>, reason: RecallReason): QuotaRecord {
	let next = record;
	for (const [node, target] of plan) next = recall(next, node, target, reason);
	return next;
}

function allotTo(
	record: QuotaRecord,
	holders: readonly HolderView[],
	plan: ReadonlyMap<string, Amount>,
): QuotaRecord {
	let next = record;
	for (const { node, incarnation } of holders) {
		const amount = allotmentOf(next, node)?.amount ?? nothing;
		next = allot(next, node, incarnation, minus(plan.get(node) ?? nothing, amount));
	}
	return next;
}

/** Returns the limit and guarantee that apply to new tasks: a lower limit that is pending already applies. */
export function usableTerms(record: QuotaRecord): LimitTerms {
	const { guarantee } = record.pending ?? record.inForce;
	return { limit: ceiling(record), guarantee };
}

/** Returns the amount that the team uses above a lower limit that is pending. */
export function excess(record: QuotaRecord, used: Amount): Amount {
	return record.pending ? minus(used, record.pending.limit) : nothing;
}
