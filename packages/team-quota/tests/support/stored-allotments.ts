import type { Allotment, QuotaRecord } from "../../src/record.js";

export interface LoweredAllotment {
	team: string;
	incarnation: string;
	/** In which dimensions less is stored than before. */
	cpus: boolean;
	gpus: boolean;
}

/** The allotments in the store, to find those that a write lowers, removes, or passes to another process. */
export class StoredAllotments {
	private readonly allotmentsByTeam = new Map<string, readonly Allotment[]>();

	/** Applies a written record, and returns the allotments that it lowers. */
	apply({ team, allotments }: QuotaRecord): LoweredAllotment[] {
		const previous = this.allotmentsByTeam.get(team) ?? [];
		this.allotmentsByTeam.set(team, allotments);
		const lowered: LoweredAllotment[] = [];
		for (const { node, incarnation, amount } of previous) {
			const current = allotments.find((a) => a.node === node && a.incarnation === incarnation)?.amount;
			const cpus = (current?.cpus ?? 0) < amount.cpus;
			const gpus = (current?.gpus ?? 0) < amount.gpus;
			if (cpus || gpus) lowered.push({ team, incarnation, cpus, gpus });
		}
		return lowered;
	}
}
