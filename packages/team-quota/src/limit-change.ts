import { type Amount, inUnits, limitAmount, within } from "./amount.js";
import { type LimitTerms, type QuotaRecord, requestLimit } from "./record.js";

/** A change requested by an operator, in CPUs and accelerators; an omitted field keeps its value. */
export interface LimitRequest {
	cpus?: number | undefined;
	gpus?: number | undefined;
	guaranteedCpus?: number | undefined;
	guaranteedGpus?: number | undefined;
}

/** The requested change is invalid; the message contains the reason. */
export class LimitChangeError extends Error {}

function dimension(field: string, value: number | undefined, present: number): number {
	if (value === undefined) return present;
	if (Number.isNaN(value) || value < 0)
		throw new LimitChangeError(`"${field}" must be a number of 0 or more`);
	return value;
}

function termsOf(record: QuotaRecord, request: LimitRequest): LimitTerms {
	const { limit, guarantee } = record.pending ?? record.inForce;
	return {
		limit: limitAmount(
			dimension("cpus", request.cpus, inUnits(limit.cpus)),
			dimension("gpus", request.gpus, inUnits(limit.gpus)),
		),
		guarantee: limitAmount(
			dimension("guaranteed-cpus", request.guaranteedCpus, inUnits(guarantee.cpus)),
			dimension("guaranteed-gpus", request.guaranteedGpus, inUnits(guarantee.gpus)),
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
	others: Amount,
	capacity: Amount | null,
): QuotaRecord {
	const terms = termsOf(record, request);
	if (!within(terms.guarantee, terms.limit))
		throw new LimitChangeError("the guarantee must not exceed the limit");
	const guaranteed = {
		cpus: others.cpus + terms.guarantee.cpus,
		gpus: others.gpus + terms.guarantee.gpus,
	};
	if (capacity && !within(guaranteed, capacity))
		throw new LimitChangeError(
			`all guarantees together, ${inUnits(guaranteed.cpus)} CPUs and ${inUnits(guaranteed.gpus)} accelerators, exceed the capacity`,
		);
	return requestLimit(record, terms, requestedAt);
}
