/** Changes of a team's limits that operators request. */

import { type Amount, fitsWithin, limitAmount, toUnits } from "./amount.js";
import { type LimitAndGuarantee, type QuotaRecord, requestLimit } from "./record.js";

/** A change requested by an operator, in CPUs and accelerators; an omitted field keeps its value. */
export interface LimitRequest {
	cpus?: number | undefined;
	gpus?: number | undefined;
	guaranteedCpus?: number | undefined;
	guaranteedGpus?: number | undefined;
}

/** Thrown if a requested change is invalid; the message contains the reason. */
export class LimitChangeError extends Error {}

function requestedUnits(field: string, value: number | undefined, current: number): number {
	if (value === undefined) return current;
	if (Number.isNaN(value) || value < 0)
		throw new LimitChangeError(`"${field}" must be a number of 0 or more`);
	return value;
}

function requestedLimits(record: QuotaRecord, request: LimitRequest): LimitAndGuarantee {
	const { limit, guarantee } = record.pending ?? record.inForce;
	return {
		limit: limitAmount(
			requestedUnits("cpus", request.cpus, toUnits(limit.cpus)),
			requestedUnits("gpus", request.gpus, toUnits(limit.gpus)),
		),
		guarantee: limitAmount(
			requestedUnits("guaranteed-cpus", request.guaranteedCpus, toUnits(guarantee.cpus)),
			requestedUnits("guaranteed-gpus", request.guaranteedGpus, toUnits(guarantee.gpus)),
		),
	};
}

/**
 * Returns the record with the requested change. `otherGuarantees` is the sum of the other teams'
 * guarantees, `capacity` the largest capacity that the cluster can have, or null if it is unknown.
 */
export function changeLimit(
	record: QuotaRecord,
	request: LimitRequest,
	requestedAt: number,
	otherGuarantees: Amount,
	capacity: Amount | null,
): QuotaRecord {
	const requested = requestedLimits(record, request);
	if (!fitsWithin(requested.guarantee, requested.limit))
		throw new LimitChangeError("the guarantee must not exceed the limit");
	const totalGuaranteed = {
		cpus: otherGuarantees.cpus + requested.guarantee.cpus,
		gpus: otherGuarantees.gpus + requested.guarantee.gpus,
	};
	if (capacity && !fitsWithin(totalGuaranteed, capacity))
		throw new LimitChangeError(
			`all guarantees together, ${toUnits(totalGuaranteed.cpus)} CPUs and ${toUnits(totalGuaranteed.gpus)} accelerators, exceed the capacity`,
		);
	return requestLimit(record, requested, requestedAt);
}
