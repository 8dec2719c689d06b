import { type Amount, isZeroAmount, subtractAmounts } from "../../src/amount.js";
import type { Allotment, QuotaRecord } from "../../src/record.js";
import type { AdmissionRecord } from "./admission-record.js";

/** The allotments in the store, and the admissions whose amounts a write takes off them. */
export class StoredAllotments {
	private readonly allotmentsByTeam = new Map<string, readonly Allotment[]>();
	/** By incarnation of the process that admitted them, in the order of admission. */
	private readonly admissionsByProcess = new Map<string, AdmissionRecord[]>();

	recordAdmission(incarnation: string, admission: AdmissionRecord): void {
		const admissions = this.admissionsByProcess.get(incarnation);
		if (admissions) admissions.push(admission);
		else this.admissionsByProcess.set(incarnation, [admission]);
	}

	/** Records a written record of a team, and with it the release of admissions that can no longer start. */
	recordWrite({ team, allotments }: QuotaRecord, now: number): void {
		const previous = this.allotmentsByTeam.get(team) ?? [];
		this.allotmentsByTeam.set(team, allotments);
		for (const { node, incarnation, amount } of previous) {
			const admissions = this.admissionsByProcess.get(incarnation) ?? [];
			const teamAdmissions = admissions.filter((admission) => admission.team === team);
			const current = allotments.find((a) => a.node === node && a.incarnation === incarnation);
			if (!current) for (const admission of teamAdmissions) admission.storedAllotmentRemoved(now);
			else releaseWithin(subtractAmounts(amount, current.amount), teamAdmissions, now);
		}
	}
}

/**
 * Releases the earliest admissions that can no longer start, until they cover the amount that a write has taken off. What
 * they exceed it by is still covered by the stored allotment, so no more than one of them is released in part.
 */
function releaseWithin(takenOff: Amount, admissions: readonly AdmissionRecord[], now: number): void {
	let remaining = takenOff;
	for (const admission of admissions) {
		if (isZeroAmount(remaining)) return;
		const { cpus, gpus } = admission.size;
		const covers = (remaining.cpus > 0 && cpus > 0) || (remaining.gpus > 0 && gpus > 0);
		if (!covers || !admission.awaitsRelease) continue;
		admission.releaseIfUnableToStart(now);
		remaining = subtractAmounts(remaining, admission.size);
	}
}
