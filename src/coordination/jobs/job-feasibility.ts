/** Checks whether a job can ever run with its team's limit and the machine types on offer. */

import { typeFits } from "../../bookkeeping/machine-fit.js";
import { isService, type JobSpec } from "../../protocol/model/job.js";
import type { MachineType } from "../../protocol/model/machine.js";
import type { TeamQuota } from "../../protocol/model/team-quota.js";

/**
 * Returns the reason why a job can never run, as a message for its user; null: it can run.
 *
 * Zone rules alone never prevent an array job from running: its tasks need not run at the same time, so a single zone
 * can run one half of them after the other. The test is in `tests/coordination/jobs/job-feasibility.test.ts`.
 *
 * @param team The quota of the job's team; undefined: there is no such team.
 * @param types All machine types on offer.
 */
export function infeasibilityReason(
	spec: JobSpec,
	team: TeamQuota | undefined,
	types: readonly MachineType[],
): string | null {
	if (!team) return `there is no team "${spec.team}"`;
	if (spec.cpus > team.limit.cpus || spec.gpus > team.limit.gpus) {
		return `a task needs more than the limit of team "${spec.team}"`;
	}
	const fitting = types.filter((type) => typeFits(spec, type));
	if (fitting.length === 0) return "a task fits no allowed machine type";
	return isService(spec) ? serviceInfeasibilityReason(spec, team, fitting) : null;
}

/** The replicas of a service job run at the same time: quota and zone rules apply to all of them together. */
function serviceInfeasibilityReason(
	spec: JobSpec,
	team: TeamQuota,
	fittingTypes: readonly MachineType[],
): string | null {
	const cpus = spec.taskCount * spec.cpus;
	const gpus = spec.taskCount * spec.gpus;
	if (cpus > team.limit.cpus || gpus > team.limit.gpus) {
		return `all replicas together need more than the limit of team "${spec.team}"`;
	}
	const zones = new Set(fittingTypes.flatMap((type) => type.zones));
	const hasOneZone = spec.singleZone || spec.zone !== null || zones.size < 2;
	const maxPerZone = Math.ceil(spec.taskCount / 2);
	if (spec.spreadZones && hasOneZone && maxPerZone < spec.taskCount) {
		return "the replicas can't be spread over zones: they are allowed in one only";
	}
	return null;
}
