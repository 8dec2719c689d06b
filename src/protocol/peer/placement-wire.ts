/** Placement requests (`view` on the wire) and proposals (`placed`). */

import * as v from "valibot";
import { name, nonNegative, nonNegativeInteger } from "../schema-checks.js";
import type { Grant, Placement, PlacementProposal, PlacementRequest } from "./messages.js";
import { teamQuota, term } from "./wire-fields.js";

/** The fields of a machine's capacity have the same names on the wire, so lists of machines are not converted. */
const MachineCapacitySchema = v.object({
	id: name,
	type: name,
	zone: name,
	spot: v.boolean(),
	cpus: v.number(),
	gpus: v.number(),
	memory: v.number(),
	slots: nonNegative,
	images: v.array(v.string()),
});

const GrantSchema = v.object({
	job: name,
	count: nonNegativeInteger,
	avoid: v.array(v.string()),
	zones: v.record(v.string(), v.number()),
	beside: v.optional(v.array(v.string())),
});

const PlacementSchema = v.object({ job: name, machine: name, count: nonNegativeInteger });

/** A placement request on the wire. */
export const PlacementRequestSchema = v.object({
	kind: v.literal("view"),
	epoch: term,
	cycle: nonNegativeInteger,
	start: nonNegativeInteger,
	machines: v.array(MachineCapacitySchema),
	grants: v.array(GrantSchema),
	quota: teamQuota,
});

/** A placement proposal on the wire. */
export const PlacementProposalSchema = v.object({
	kind: v.literal("placed"),
	epoch: term,
	cycle: nonNegativeInteger,
	placements: v.array(PlacementSchema),
	/** The first versions omit this field. */
	unknown: v.optional(v.array(v.string()), []),
	quota: teamQuota,
});

type WireGrant = v.InferOutput<typeof GrantSchema>;
type WirePlacement = v.InferOutput<typeof PlacementSchema>;

function encodeGrant({ jobId, count, avoidedMachines, tasksByZone, replicaMachines }: Grant): WireGrant {
	return {
		job: jobId,
		count,
		avoid: avoidedMachines,
		zones: tasksByZone,
		...(replicaMachines !== undefined && { beside: replicaMachines }),
	};
}

function decodeGrant({ job, count, avoid, zones, beside }: WireGrant): Grant {
	return {
		jobId: job,
		count,
		avoidedMachines: avoid,
		tasksByZone: zones,
		...(beside !== undefined && { replicaMachines: beside }),
	};
}

const encodePlacement = ({ jobId, machineId, count }: Placement): WirePlacement => ({
	job: jobId,
	machine: machineId,
	count,
});

const decodePlacement = ({ job, machine, count }: WirePlacement): Placement => ({
	jobId: job,
	machineId: machine,
	count,
});

/** Encodes a placement request. */
export function encodePlacementRequest(
	message: PlacementRequest,
): v.InferInput<typeof PlacementRequestSchema> {
	const { term, cycle, startIndex, machines, grants, teamQuota } = message;
	return {
		kind: "view",
		epoch: term,
		cycle,
		start: startIndex,
		machines,
		grants: grants.map(encodeGrant),
		...(teamQuota !== undefined && { quota: teamQuota }),
	};
}

/** Decodes a placement request that was checked by its schema. */
export function decodePlacementRequest(wire: v.InferOutput<typeof PlacementRequestSchema>): PlacementRequest {
	const { epoch, cycle, start, machines, grants, quota } = wire;
	return {
		kind: "placement-request",
		term: epoch,
		cycle,
		startIndex: start,
		machines,
		grants: grants.map(decodeGrant),
		...(quota !== undefined && { teamQuota: quota }),
	};
}

/** Encodes a placement proposal. */
export function encodePlacementProposal(
	message: PlacementProposal,
): v.InferInput<typeof PlacementProposalSchema> {
	const { term, cycle, placements, unknownJobs, teamQuota } = message;
	return {
		kind: "placed",
		epoch: term,
		cycle,
		unknown: unknownJobs,
		placements: placements.map(encodePlacement),
		...(teamQuota !== undefined && { quota: teamQuota }),
	};
}

/** Decodes a placement proposal that was checked by its schema. */
export function decodePlacementProposal(
	wire: v.InferOutput<typeof PlacementProposalSchema>,
): PlacementProposal {
	const { epoch, cycle, placements, unknown, quota } = wire;
	return {
		kind: "placement-proposal",
		term: epoch,
		cycle,
		placements: placements.map(decodePlacement),
		unknownJobs: unknown,
		...(quota !== undefined && { teamQuota: quota }),
	};
}
