/** What users' requests about jobs result in. */

import { MalformedMessageError } from "../../protocol/errors.js";
import type { JobStatus } from "../../protocol/model/job.js";
import type { FinalJobRecord } from "../../protocol/records/final-record.js";
import { CallError } from "../ports/call-error.js";

/** A job's state as its user sees it. */
export interface JobState {
	status: JobStatus;
	/** Tasks that are done. */
	done: number;
	/** Tasks that run; for display. */
	running: number;
}

/** The request cannot be answered with certainty now. It may succeed when it is repeated. */
export interface Unavailable {
	kind: "unavailable";
	/** Shown to the user. */
	reason: string;
}

/** What became of a submission. */
export type SubmitResult =
	/** The job is in the store now. */
	| { kind: "accepted"; status: JobStatus }
	/** The job was accepted earlier: a submission is idempotent, whatever else it says. */
	| { kind: "duplicate"; status: JobStatus }
	/** The job can never run here. */
	| { kind: "rejected"; reason: string }
	/** A field names something that does not exist. */
	| { kind: "malformed"; reason: string }
	| Unavailable;

/** What is known of a job. */
export type JobLookup = ({ kind: "found" } & JobState) | { kind: "not-found" } | Unavailable;

/** The state of a job that is over. */
export function stateOfFinal(final: FinalJobRecord): JobState {
	return { status: final.status, done: final.doneCount, running: 0 };
}

/**
 * What a user is told when an error keeps a request from being answered: a call to the store that failed, or a
 * record that this version cannot read. Any other error is a fault of this process and is thrown on.
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
