import type { HttpCaller } from "../../src/transport/clients/http-client.js";
import type { HttpResponse } from "../../src/transport/clients/http-response.js";

/** A request that a client has made. */
export interface RecordedRequest {
	method: string;
	path: string;
	body: unknown;
}

/** A stand-in for an external service: returns the responses in order and records the requests. */
export function scriptedHttp(responses: HttpResponse[]): HttpCaller & { requests: RecordedRequest[] } {
	const requests: RecordedRequest[] = [];
	return {
		requests,
		async call(method, path, body) {
			requests.push({ method, path, body });
			const response = responses[requests.length - 1];
			if (!response) throw new Error(`no response for ${method} ${path}`);
			return response;
		},
		close() {},
	};
}
