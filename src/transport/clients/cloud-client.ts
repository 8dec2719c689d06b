/** Client of the cloud's API, which stays below the cloud's rate limit. */

import { CallError } from "../../coordination/ports/call-error.js";
import { type Clock, delay } from "../../coordination/ports/clock.js";
import type { CloudProvider } from "../../coordination/ports/cloud.js";
import {
	createMachinesBody,
	deleteMachinesBody,
	isNoCapacity,
	type MachineListPage,
	machineListPath,
	parseCreatedMachines,
	parseMachineList,
	parseMachineTypes,
	type ScaleOutRequest,
} from "../../protocol/http/cloud-api.js";
import { paths } from "../../protocol/http/paths.js";
import type { MachineId } from "../../protocol/model/identifiers.js";
import type { MachineType } from "../../protocol/model/machine.js";
import type { HttpCaller } from "./http-client.js";
import { expectStatus, parseResponse } from "./http-response.js";
import { TokenBucket } from "./token-bucket.js";

const callTimeoutMs = 4000;

/** The largest page of the machine list that the cloud returns. */
const machineListPageSize = 500;

/** A call that would wait this long or longer for the rate limit fails at once. */
const maxRateWaitMs = 1000;

/**
 * The fraction of the cloud's rate limit that this client uses. It can be large, because only the leader calls the
 * cloud.
 */
const rateFraction = 0.9;
/** The requests that may be sent at once, in seconds of the rate limit. The cloud allows a burst of two seconds. */
const burstS = 1.5;
/** The requests reserved for scaling, in seconds of the rate limit, but at most one request, which is enough. */
const scalingReserveS = 0.5;

/**
 * Calls the cloud's API. Only the leader calls it, so one controller may use nearly the whole rate limit. Calls
 * that list machines or machine types leave a reserve for calls that create and delete machines.
 */
export class CloudClient implements CloudProvider {
	private readonly requestTokens: TokenBucket;
	private readonly scalingReserve: number;

	/**
	 * @param requestsPerS The cloud's limit on requests per second (`cluster.cloud.rps` in the platform's
	 * settings).
	 */
	constructor(
		private readonly http: HttpCaller,
		private readonly clock: Clock,
		requestsPerS: number,
	) {
		this.requestTokens = new TokenBucket(
			requestsPerS * rateFraction,
			Math.max(1, requestsPerS * burstS),
			clock,
		);
		this.scalingReserve = Math.min(1, requestsPerS * scalingReserveS);
	}

	async machineTypes(): Promise<MachineType[]> {
		await this.acquireToken(this.scalingReserve);
		const response = await this.http.call("GET", paths.machineTypes, undefined, callTimeoutMs);
		expectStatus(response, "machine types", 200);
		return parseResponse(response, "machine types", parseMachineTypes);
	}

	async createMachines(request: ScaleOutRequest): Promise<MachineId[]> {
		await this.acquireToken(0);
		const body = createMachinesBody(request);
		const response = await this.http.call("POST", paths.machines, body, callTimeoutMs);
		// A 503 with this body reports a lack of capacity; a 503 during an outage of the cloud has a different
		// body.
		if (response.status === 503 && isNoCapacity(response.body)) return [];
		expectStatus(response, "creation of machines", 200, 201);
		return parseResponse(response, "creation of machines", parseCreatedMachines);
	}

	async deleteMachines(machines: MachineId[]): Promise<void> {
		await this.acquireToken(0);
		const body = deleteMachinesBody(machines);
		const response = await this.http.call("POST", paths.machineDeletions, body, callTimeoutMs);
		expectStatus(response, "deletion of machines", 200);
	}

	async listMachines(after: MachineId): Promise<MachineListPage> {
		await this.acquireToken(this.scalingReserve);
		const path = machineListPath(after, machineListPageSize);
		const response = await this.http.call("GET", path, undefined, callTimeoutMs);
		expectStatus(response, "machine list", 200);
		return parseResponse(response, "machine list", parseMachineList);
	}

	/** Closes the connections. Pending calls reject. */
	close(): void {
		this.http.close();
	}

	/**
	 * Takes the token of a request and leaves the reserve, after a wait if necessary. Throws a CallError if no
	 * token is available in time.
	 */
	private async acquireToken(reserve: number): Promise<void> {
		if (this.requestTokens.tryTake(1, reserve)) return;
		const waitMs = this.requestTokens.waitMs(1, reserve);
		if (waitMs < maxRateWaitMs) {
			await delay(this.clock, waitMs + 1);
			if (this.requestTokens.tryTake(1, reserve)) return;
		}
		throw new CallError("not executed", 429, "this controller's share of the cloud's rate is used up");
	}
}
