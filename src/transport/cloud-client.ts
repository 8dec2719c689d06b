import { CallError } from "../coordination/ports/call-error.js";
import type { Clock } from "../coordination/ports/clock.js";
import type { CloudProvider } from "../coordination/ports/cloud.js";
import {
	createdMachinesFrom,
	createMachinesBody,
	deleteMachinesBody,
	isNoCapacity,
	type MachineListPage,
	machineListFrom,
	machineListPath,
	machineTypesFrom,
	type ScaleOutRequest,
} from "../protocol/http/cloud-api.js";
import { paths } from "../protocol/http/paths.js";
import type { MachineType } from "../protocol/model/machine.js";
import { expectStatus, type HttpCaller, parseResponse } from "./http-client.js";
import { TokenBucket } from "./token-bucket.js";

const callMs = 4000;

/** The cloud's API. Only the leader calls it, so one node may use nearly all of the rate. */
export class CloudClient implements CloudProvider {
	private readonly bucket: TokenBucket;
	private readonly reserve: number;

	constructor(
		private readonly http: HttpCaller,
		private readonly time: Clock,
		rps: number,
	) {
		this.bucket = new TokenBucket(rps * 0.9, Math.max(1, rps * 1.5), () => time.now());
		this.reserve = Math.min(1, rps * 0.5);
	}

	/** Renting and returning come before listing, which leaves a reserve to them. */
	private async admit(reserve: number): Promise<void> {
		if (this.bucket.take(1, reserve)) return;
		const wait = this.bucket.waitMs(1, reserve);
		if (wait < 1000) {
			await new Promise<void>((resolve) => this.time.after(wait + 1, resolve));
			if (this.bucket.take(1, reserve)) return;
		}
		throw new CallError("not executed", 429, "own share of the cloud's rate is used up");
	}

	async machineTypes(): Promise<MachineType[]> {
		await this.admit(this.reserve);
		const answer = await this.http.call("GET", paths.machineTypes, undefined, callMs);
		expectStatus(answer, "machine types", 200);
		return parseResponse(answer, "machine types", machineTypesFrom);
	}

	async createMachines(request: ScaleOutRequest): Promise<string[]> {
		await this.admit(0);
		const answer = await this.http.call("POST", paths.machines, createMachinesBody(request), callMs);
		// Only this answer speaks of capacity; during an outage there is another 503.
		if (answer.status === 503 && isNoCapacity(answer.body)) return [];
		expectStatus(answer, "rental", 200, 201);
		return parseResponse(answer, "rental", createdMachinesFrom);
	}

	async deleteMachines(machines: string[]): Promise<void> {
		await this.admit(0);
		const answer = await this.http.call("POST", paths.machinesReturn, deleteMachinesBody(machines), callMs);
		expectStatus(answer, "return", 200);
	}

	async listMachines(after: string): Promise<MachineListPage> {
		await this.admit(this.reserve);
		const answer = await this.http.call("GET", machineListPath(after, 500), undefined, callMs);
		expectStatus(answer, "list", 200);
		return parseResponse(answer, "list", machineListFrom);
	}

	close(): void {
		this.http.close();
	}
}
