/** The regular comparison of charges, allotments and the scheduler's own counts. */

import { type Amount, fitsWithin, sameAmount, subtractAmounts } from "./amount.js";
import type { QuotaRecord } from "./record.js";

/** A difference between a record, the charge ledger and the running tasks. */
export interface QuotaDifference {
	team: string;
	message:
		| "allotment holder is charged more than its allotment"
		| "allotment holder is not a controller of the cluster"
		| "charged amount differs from running tasks";
	/** The node concerned. The field `node` of every log line is the controller that logs. */
	holder?: string;
	expected?: Amount;
	found?: Amount;
}

/** The record of a team, and what its tasks use by the charges and by an independent count. */
export interface VerificationInput {
	record: QuotaRecord;
	/** Every node of the cluster. */
	nodes: readonly string[];
	charged(node: string): Amount;
	/** Sum of all charges of the team. */
	teamTotal: Amount;
	/** The amount that the team's tasks use by an independent count. */
	running: Amount;
	/** Maximum error of that count in each dimension. */
	tolerance: Amount;
}

/**
 * Returns the current differences. A difference may exist briefly during a change; one that persists is a
 * fault.
 */
export function findDifferences(input: VerificationInput): QuotaDifference[] {
	const { record, nodes, charged, teamTotal, running, tolerance } = input;
	const { team } = record;
	const found: QuotaDifference[] = [];
	for (const { node } of record.allotments)
		if (!nodes.includes(node))
			found.push({ team, message: "allotment holder is not a controller of the cluster", holder: node });
	for (const node of nodes) {
		const allotment = record.allotments.find((allotment) => allotment.node === node);
		const amount = allotment?.amount ?? { cpus: 0, gpus: 0 };
		if (!fitsWithin(charged(node), amount))
			found.push({
				team,
				message: "allotment holder is charged more than its allotment",
				holder: node,
				expected: amount,
				found: charged(node),
			});
	}
	if (
		!fitsWithin(subtractAmounts(teamTotal, running), tolerance) ||
		!fitsWithin(subtractAmounts(running, teamTotal), tolerance)
	)
		found.push({
			team,
			message: "charged amount differs from running tasks",
			expected: running,
			found: teamTotal,
		});
	return found;
}

/** Selects the differences that two consecutive checks have found, each once for as long as it persists. */
export class PersistentDifferences {
	private previous = new Map<string, QuotaDifference>();
	private reported = new Set<string>();

	/** Returns those of the found differences that should be reported now. */
	takePersistent(found: readonly QuotaDifference[]): QuotaDifference[] {
		const keyOf = ({ team, message, holder = "" }: QuotaDifference) => `${team}/${message}/${holder}`;
		const current = new Map(found.map((difference) => [keyOf(difference), difference]));
		const persistent = [...current].filter(([key, difference]) => {
			const previous = this.previous.get(key);
			// A difference whose amount changed since the last check is still in transition.
			const unchanged =
				previous && (!difference.found || sameAmount(previous.found ?? difference.found, difference.found));
			return unchanged && !this.reported.has(key);
		});
		this.previous = current;
		this.reported = new Set([...this.reported].filter((key) => current.has(key)));
		for (const [key] of persistent) this.reported.add(key);
		return persistent.map(([, difference]) => difference);
	}
}
