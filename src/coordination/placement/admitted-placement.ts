/** Placement of a placer with team quota. */

import type { JobSpec } from "../../protocol/model/job.js";
import { taskDemandOf } from "../../protocol/model/job.js";
import type { Grant, MachineCapacity, Placement } from "../../protocol/peer/messages.js";
import type { TeamQuotaPort } from "../ports/team-quota.js";
import { placeFirstFit } from "./first-fit.js";

/**
 * Places the granted tasks that this controller's allotments admit. Admission comes first, so that no placement
 * is proposed that its team may not use; admissions of tasks that fit on no machine are withdrawn.
 */
export function placeWithinAllotments(
	quota: TeamQuotaPort,
	machines: MachineCapacity[],
	grants: Grant[],
	specOf: (jobId: string) => JobSpec | undefined,
	startIndex: number,
): Placement[] {
	const admitted: Grant[] = [];
	for (const grant of grants) {
		const spec = specOf(grant.jobId);
		const count = spec ? quota.admit(taskDemandOf(spec), grant.count) : 0;
		if (count > 0) admitted.push({ ...grant, count });
	}
	const placements = placeFirstFit(machines, admitted, specOf, startIndex);
	const placedByJob = new Map<string, number>();
	for (const { jobId, count } of placements) placedByJob.set(jobId, (placedByJob.get(jobId) ?? 0) + count);
	for (const { jobId, count } of admitted) {
		const spec = specOf(jobId);
		const unplaced = count - (placedByJob.get(jobId) ?? 0);
		if (spec && unplaced > 0) quota.withdraw(taskDemandOf(spec), unplaced);
	}
	return placements;
}
