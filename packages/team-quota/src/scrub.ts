import { type Amount, minus, same, within } from "./amount.js";
import type { QuotaRecord } from "./record.js";

/** A difference between a record, the charge ledger and the running tasks. */
export interface QuotaDifference {
	team: string;
	what:
		| "allotment holder is charged more than its allotment"
		| "allotment holder is not a controller of the cluster"
		| "charged amount differs from running tasks";
	node?: string;
	expected?: Amount;
	found?: Amount;
}

export interface ScrubInput {
	record: QuotaRecord;
	/** Every node of the cluster. */
	nodes: readonly string[];
	charged(node: string): Amount;
	/** Sum of all charges of the team. */
	total: Amount;
	/** The amount that the team's tasks use by an independent count. */
	running: Amount;
	/** Maximum error of that count in each dimension. */
	tolerance: Amount;
}

/**
 * Returns the current differences. A difference may exist briefly during a change; one that persists is a
 * fault.
 */
export function differences(input: ScrubInput): QuotaDifference[] {
	const { record, nodes, charged, total, running, tolerance } = input;
	const { team } = record;
	const found: QuotaDifference[] = [];
	for (const { node } of record.allotments)
		if (!nodes.includes(node))
			found.push({ team, what: "allotment holder is not a controller of the cluster", node });
	for (const node of nodes) {
		const held = record.allotments.find((allotment) => allotment.node === node);
		const amount = held?.amount ?? { cpus: 0, gpus: 0 };
		if (!within(charged(node), amount))
			found.push({
				team,
				what: "allotment holder is charged more than its allotment",
				node,
				expected: amount,
				found: charged(node),
			});
	}
	if (!within(minus(total, running), tolerance) || !within(minus(running, total), tolerance))
		found.push({ team, what: "charged amount differs from running tasks", expected: running, found: total });
	return found;
}

/** Selects the differences that two consecutive checks have found, each once for as long as it persists. */
export class Scrub {
	private seen = new Map<string, QuotaDifference>();
	private told = new Set<string>();

	/** Returns those of the found differences that should be reported now. */
	lasting(found: readonly QuotaDifference[]): QuotaDifference[] {
		const keyOf = ({ team, what, node = "" }: QuotaDifference) => `${team}/${what}/${node}`;
		const now = new Map(found.map((difference) => [keyOf(difference), difference]));
		const lasting = [...now].filter(([key, difference]) => {
			const before = this.seen.get(key);
			// A difference whose amount changed since the last check is still in transition.
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
