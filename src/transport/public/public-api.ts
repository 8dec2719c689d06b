/**
 * Routes of the public HTTP API: users' requests, and the load balancer's readiness checks. Workers' heartbeats
 * arrive at the same port but bypass the routes, see `heartbeat-listener.ts`.
 */

import { type Context, Hono } from "hono";
import type { JobLookup, SubmitResult } from "../../coordination/jobs/job-results.js";
import type { Log } from "../../coordination/ports/log.js";
import { MalformedMessageError } from "../../protocol/errors.js";
import { paths } from "../../protocol/http/paths.js";
import { isJobId, jobIdOf, jobResponseBody, parseJobSpec } from "../../protocol/http/user-api.js";
import type { JobId } from "../../protocol/model/identifiers.js";
import type { JobSpec } from "../../protocol/model/job.js";
import type { PublicService } from "./public-service.js";
import { bodyTooLargeMessage, readBody } from "./request-body.js";

/** Seconds after which users should retry, unless the service names another delay. */
const defaultRetryAfterS = 1;

const jobPath = `${paths.jobs}/:id` as const;
const cancelPath = `${jobPath}/abort` as const;

/** Returns the routes of one service. */
export function publicApi(service: PublicService, log: Log): Hono {
	const app = new Hono();
	app.get(paths.ready, () =>
		service.ready() ? Response.json({ ready: true }) : unavailableResponse("the node is starting"),
	);
	app.post(paths.jobs, (context) => submit(service, context.req.raw));
	app.get(jobPath, (context) => lookUp(service, context.req.param("id")));
	app.post(cancelPath, (context) => cancel(service, context.req.param("id")));
	// These routes must follow the handlers of the allowed methods.
	app.all(paths.ready, () => methodNotAllowedResponse("GET"));
	app.all(paths.heartbeats, () => methodNotAllowedResponse("POST"));
	app.all(paths.jobs, () => methodNotAllowedResponse("POST"));
	app.all(jobPath, () => methodNotAllowedResponse("GET"));
	app.all(cancelPath, () => methodNotAllowedResponse("POST"));
	app.notFound(() => errorResponse(404, "there is nothing at this path"));
	app.onError((error, context) => handleError(error, context, log));
	return app;
}

async function submit(service: PublicService, request: Request): Promise<Response> {
	const body = await readBody(request);
	if (body === null) return errorResponse(413, bodyTooLargeMessage);
	let spec: JobSpec;
	try {
		spec = parseJobSpec(body);
	} catch (error) {
		const response = await responseUnlessNew(service, body);
		if (response) return response;
		throw error;
	}
	return submitResponse(spec.id, await service.submit(spec));
}

/**
 * Returns the response to an invalid submission that names a job which was accepted earlier, or may have been: a submission
 * of an accepted job must never get 400 or 422. Returns null if there is no such job. The tests are in
 * `tests/transport/public/public-api.test.ts`.
 */
async function responseUnlessNew(service: PublicService, body: string): Promise<Response | null> {
	const id = jobIdOf(body);
	if (id === null) return null;
	const lookup = await service.status(id);
	switch (lookup.kind) {
		case "found":
			return Response.json(jobResponseBody(id, lookup.status));
		case "unavailable":
			return unavailableResponse(lookup.reason);
		case "not-found":
			return null;
	}
}

function submitResponse(id: JobId, result: SubmitResult): Response {
	switch (result.kind) {
		case "accepted":
			return Response.json(jobResponseBody(id, result.status), { status: 201 });
		case "duplicate":
			return Response.json(jobResponseBody(id, result.status));
		case "malformed":
			return errorResponse(400, result.reason);
		case "rejected":
			return errorResponse(422, result.reason);
		case "overloaded":
			return unavailableResponse(result.reason, result.retryAfterS);
		case "unavailable":
			return unavailableResponse(result.reason);
	}
}

async function lookUp(service: PublicService, id: string): Promise<Response> {
	if (!isJobId(id)) return noSuchJobResponse();
	const result = await service.status(id);
	if (result.kind !== "found") return notFoundResponse(result);
	const { status, done, running } = result;
	return Response.json(jobResponseBody(id, status, { done, running }));
}

async function cancel(service: PublicService, id: string): Promise<Response> {
	if (!isJobId(id)) return noSuchJobResponse();
	const result = await service.cancel(id);
	if (result.kind !== "found") return notFoundResponse(result);
	return Response.json(jobResponseBody(id, result.status));
}

function notFoundResponse(result: Exclude<JobLookup, { kind: "found" }>): Response {
	return result.kind === "not-found" ? noSuchJobResponse() : unavailableResponse(result.reason);
}

function handleError(error: Error, context: Context, log: Log): Response {
	if (error instanceof MalformedMessageError) {
		log.debug({ path: context.req.path, err: error }, "malformed request");
		return errorResponse(400, error.message);
	}
	log.error({ err: error }, "request failed");
	return unavailableResponse("the request could not be handled");
}

function noSuchJobResponse(): Response {
	return errorResponse(404, "there is no such job");
}

function methodNotAllowedResponse(allow: string): Response {
	return errorResponse(405, `the method is not allowed here, use ${allow}`, { allow });
}

function unavailableResponse(reason: string, retryAfterS = defaultRetryAfterS): Response {
	return errorResponse(503, reason, { "retry-after": String(retryAfterS) });
}

function errorResponse(status: number, error: string, headers?: Record<string, string>): Response {
	return Response.json({ error }, { status, headers });
}
