import { type Amount, minus, same, within } from "./amount.js";
import type { QuotaRecord } from "./record.js";

/** Something in which a record, the book of charges and what runs do not agree. */
export interface QuotaDifference {
	team: string;
	what:
		| "a holder is charged with more than it has"
		| "a holder is no controller"
		| "charges are not what runs";
	node?: string;
	expected?: Amount;
	found?: Amount;
}

export interface ScrubInput {
	record: QuotaRecord;
	/** Every node of the cluster. */
	nodes: readonly string[];
	charged(node: string): Amount;
	/** All charges of the team. */
	total: Amount;
	/** What its tasks take by another count, which may be off by so much for each dimension. */
	running: Amount;
	tolerance: Amount;
}

/** Each may be so for a moment, while something moves; it is a fault if it lasts. */
export function differences(input: ScrubInput): QuotaDifference[] {
	const { record, nodes, charged, total, running, tolerance } = input;
	const { team } = record;
	const found: QuotaDifference[] = [];
	for (const { node } of record.allotments)
		if (!nodes.includes(node)) found.push({ team, what: "a holder is no controller", node });
	for (const node of nodes) {
		const held = record.allotments.find((allotment) => allotment.node === node);
		const amount = held?.amount ?? { cpus: 0, gpus: 0 };
		if (!within(charged(node), amount))
			found.push({
				team,
				what: "a holder is charged with more than it has",
				node,
				expected: amount,
				found: charged(node),
			});
	}
	if (!within(minus(total, running), tolerance) || !within(minus(running, total), tolerance))
		found.push({ team, what: "charges are not what runs", expected: running, found: total });
	return found;
}

/** Says each difference once it has been seen twice in a row, and once only as long as it lasts. */
export class Scrub {
	private seen = new Map<string, QuotaDifference>();
	private told = new Set<string>();

	/** Of those found now, the ones to tell. */
	lasting(found: readonly QuotaDifference[]): QuotaDifference[] {
		const keyOf = ({ team, what, node = "" }: QuotaDifference) => `${team}/${what}/${node}`;
		const now = new Map(found.map((difference) => [keyOf(difference), difference]));
		const lasting = [...now].filter(([key, difference]) => {
			const before = this.seen.get(key);
			// What differs by another amount each time is on the move.
			const unchanged =
				before && (!difference.found || same(before.found ?? difference.found, difference.found));
			return unchanged && !this.told.has(key);
		});
		this.seen = now;
		this.told = new Set([...this.told].filter((key) => now.has(key)));
		for (const [key] of lasting) this.told.add(key);
		return lasting.map(([, difference]) => difference);
	}
}
