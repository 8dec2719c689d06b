/** Results of users' requests about jobs. */

import { MalformedMessageError } from "../../protocol/errors.js";
import type { JobStatus } from "../../protocol/model/job.js";
import type { FinalJobRecord } from "../../protocol/records/final-record.js";
import { CallError } from "../ports/call-error.js";

/** State of a job as reported to its user. */
export interface JobState {
	status: JobStatus;
	/** Number of done tasks. */
	done: number;
	/** Number of running tasks as last reported by the leader; for display only. */
	running: number;
}

/** The result of a request whose outcome is not certain. The request may succeed when it is repeated. */
export interface Unavailable {
	kind: "unavailable";
	/** Shown to the user. */
	reason: string;
}

/** The result of a submission that the controllers cannot hold now. The job is not accepted. */
export interface Overloaded {
	kind: "overloaded";
	/** Shown to the user. */
	reason: string;
	/** Seconds after which the user should submit the job again. */
	retryAfterS: number;
}

/** Result of a submission. */
export type SubmitResult =
	/** The job is in the store now. */
	| { kind: "accepted"; status: JobStatus }
	/** A job with this id was accepted earlier: submission is idempotent by id, other fields are ignored. */
	| { kind: "duplicate"; status: JobStatus }
	/** The job can never run on this platform. */
	| { kind: "rejected"; reason: string }
	/** A field names something that does not exist, such as a zone. */
	| { kind: "malformed"; reason: string }
	| Overloaded
	| Unavailable;

/** Result of a status request or a cancellation. */
export type JobLookup = ({ kind: "found" } & JobState) | { kind: "not-found" } | Unavailable;

/** Returns the state of a job that has ended. */
export function stateOfFinal(final: FinalJobRecord): JobState {
	return { status: final.status, done: final.doneCount, running: 0 };
}

/**
 * Converts an error to a result for the user: a failed call to the store, or a record that this version cannot decode.
 * Any other error is a programming error and is rethrown.
 */
export function unavailableResult(error: unknown): Unavailable {
	if (error instanceof CallError) {
		return { kind: "unavailable", reason: "the state service does not answer for now" };
	}
	if (error instanceof MalformedMessageError) {
		return { kind: "unavailable", reason: "the job's record cannot be read by this version" };
	}
	throw error;
}
