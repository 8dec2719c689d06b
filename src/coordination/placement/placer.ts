/** A controller as a placer: proposes where the tasks that the leader has granted should start. */

import type { StoreReplica } from "../../bookkeeping/store-replica.js";
import type { PlacementProposal, PlacementRequest } from "../../protocol/peer/messages.js";
import type { TeamQuotaPort } from "../ports/team-quota.js";
import { placeWithinAllotments } from "./admitted-placement.js";
import { placeFirstFit } from "./first-fit.js";

/** Responds to the leader's placement requests from this controller's replica of the store. */
export class Placer {
	/** @param teamQuota null: team quota is off, and the leader alone checks limits. */
	constructor(
		private readonly replica: StoreReplica,
		private readonly teamQuota: TeamQuotaPort | null,
	) {}

	/** Returns the proposal for a request. With team quota it contains only tasks that this controller can admit. */
	propose(request: PlacementRequest): PlacementProposal {
		const { term, cycle, machines, grants, startIndex } = request;
		const { jobs } = this.replica;
		const specOf = (id: string) => jobs.get(id)?.value.spec;
		const unknownJobs = grants.map((grant) => grant.jobId).filter((id) => !jobs.has(id));
		const proposal = { kind: "placement-proposal", term, cycle, unknownJobs } as const;
		if (request.teamQuota === undefined || !this.teamQuota)
			return { ...proposal, placements: placeFirstFit(machines, grants, specOf, startIndex) };
		this.teamQuota.applyAllotmentUpdate(term, request.teamQuota);
		const placements = placeWithinAllotments(this.teamQuota, machines, grants, specOf, startIndex);
		return { ...proposal, placements, teamQuota: this.teamQuota.closeBatch() };
	}
}
