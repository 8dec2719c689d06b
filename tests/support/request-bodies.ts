/** Bodies of requests as users and workers send them. */

const submission = {
	id: "j-000412",
	lane: "train",
	desk: "red",
	form: "array",
	urgency: "urgent",
	pieces: 16,
	cores: 8.0,
	accelerators: 1.0,
	ram_gb: 64.0,
	bundle: "img-07",
	image_gb: 6.2,
	shapes: ["g8"],
	hall: null,
	one_zone: true,
	spread: false,
	loaners: true,
	guess_s: 240.0,
	bookmark_s: 30.0,
	bookmark_cost_s: 4.0,
	due_s: 900.0,
};

/** A field of a submission. */
export type SubmissionField = keyof typeof submission;

/** Returns a valid submission of an array job of team red, with the given fields replaced. */
export function submissionBody(fields: Partial<Record<SubmissionField, unknown>> = {}) {
	return { ...submission, ...fields };
}

/** A field of a heartbeat. */
type HeartbeatField =
	| "host"
	| "endpoint"
	| "shape"
	| "hall"
	| "loaners"
	| "shift"
	| "tick"
	| "baton"
	| "recall_s"
	| "pieces";

/** Returns the heartbeat of a worker without tasks, with the given fields replaced. */
export function heartbeatBody(fields: Partial<Record<HeartbeatField, unknown>> = {}) {
	return {
		host: "n",
		endpoint: "e:1",
		shape: "s",
		hall: "a",
		shift: 1,
		tick: 1,
		baton: 0,
		pieces: [],
		...fields,
	};
}
