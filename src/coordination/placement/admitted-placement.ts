import type { JobSpec } from "../../protocol/model/job.js";
import { taskDemandOf } from "../../protocol/model/job.js";
import type { Grant, MachineCapacity, Placement } from "../../protocol/peer/messages.js";
import type { TeamQuotaPort } from "../ports/team-quota.js";
import { placeFirstFit } from "./first-fit.js";

/**
 * Places the granted tasks that this controller's allotments admit. Admission comes first, so that no placement is
 * proposed that its team may not use; admissions of tasks that fit on no machine are withdrawn.
 */
export function placeWithinAllotments(
	quota: TeamQuotaPort,
	machines: MachineCapacity[],
	grants: Grant[],
	specOf: (job: string) => JobSpec | undefined,
	start: number,
): Placement[] {
	const admitted: Grant[] = [];
	for (const grant of grants) {
		const spec = specOf(grant.jobId);
		const count = spec ? quota.admit(taskDemandOf(spec), grant.count) : 0;
		if (count > 0) admitted.push({ ...grant, count });
	}
	const placements = placeFirstFit(machines, admitted, specOf, start);
	const placed = new Map<string, number>();
	for (const { jobId: job, count } of placements) placed.set(job, (placed.get(job) ?? 0) + count);
	for (const { jobId: job, count } of admitted) {
		const spec = specOf(job);
		const left = count - (placed.get(job) ?? 0);
		if (spec && left > 0) quota.withdraw(taskDemandOf(spec), left);
	}
	return placements;
}
