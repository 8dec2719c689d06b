/** Client of the cloud's API, which keeps below the cloud's limit on requests. */

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

/** Largest page of the machine list that the cloud gives. */
const machineListPageSize = 500;

/** A call that would wait this long for its share of the rate fails at once. */
const maxRateWaitMs = 1000;

/** Part of the cloud's limit that this client uses; only the leader calls the cloud. */
const rateFraction = 0.9;
/** Requests that may come at once, in seconds of the limit. The cloud allows for two. */
const burstS = 1.5;
/** Requests that are kept for scaling, in seconds of the limit; one request is enough. */
const scalingReserveS = 0.5;

/**
 * The cloud's API. Only the leader calls it, so one controller may use nearly all of the rate. Calls that
 * create and delete machines come before those that list, which leave a reserve to them.
 */
export class CloudClient implements CloudProvider {
	private readonly requestTokens: TokenBucket;
	private readonly scalingReserve: number;

	/** @param requestsPerS The cloud's limit on requests (`cluster.cloud.rps` in the platform's settings). */
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
		// A 503 with this body says that there is no capacity; one during an outage of the cloud has another.
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

	/** Closes the connections. Calls that are still open reject. */
	close(): void {
		this.http.close();
	}

	/** Waits for a request's share of the rate, beyond the reserve. */
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
