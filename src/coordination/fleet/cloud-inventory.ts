/** Reconciles the leader's machines with the cloud's machine list. */

import { Machine } from "../../bookkeeping/machine.js";
import type { MachineListPage } from "../../protocol/http/cloud-api.js";
import type { ListedMachine } from "../../protocol/model/machine.js";
import { CallError } from "../ports/call-error.js";
import type { Clock } from "../ports/clock.js";
import type { CloudProvider } from "../ports/cloud.js";
import type { Log } from "../ports/log.js";
import type { ClusterState } from "../state/cluster-state.js";

const minReadIntervalMs = 5000;
const retryMs = 1500;
/** A read that takes longer is abandoned: its pages would be from times too far apart. */
const maxReadDurationMs = 60_000;
/** A page whose request exceeded the cloud's rate limit is requested again after this. */
const pageRetryMs = 500;
/** Reading a long list must leave most of the cloud's rate limit to scale-out and scale-in. */
const maxReadTimeFraction = 1 / 3;

/** Actions of the fleet that the inventory calls. */
export interface CloudInventoryHooks {
	/** Runs the action in the process's serial executor. */
	post(action: () => void): void;
	/** True if the cloud has confirmed the machine's deletion. An outdated list may still contain it. */
	isDeleted(machine: string): boolean;
}

/**
 * Reads the cloud's machine list periodically and reconciles the cluster state with it: unknown machines are
 * added, and failed ones are deleted. The list lags behind, so a machine that is missing from it may still
 * exist.
 */
export class CloudInventory {
	private reading = false;
	private readStartedAt = -Infinity;
	private nextReadAt = 0;
	private listedMachineIds: Set<string> | null = null;
	/** True if the list has been read, or reading it has failed for another reason than the rate limit. */
	firstReadFinished = false;

	constructor(
		private readonly clusterState: ClusterState,
		private readonly cloud: CloudProvider,
		private readonly clock: Clock,
		private readonly listLagMs: number,
		private readonly hooks: CloudInventoryHooks,
		private readonly log: Log,
	) {}

	/** Starts to read the list if a read is due. Called in each tick of the leader. */
	tick(now: number): void {
		if (this.reading || now < this.nextReadAt) return;
		this.reading = true;
		this.readStartedAt = now;
		this.readAllPages().then(
			(machines) => this.hooks.post(() => this.onListRead(machines)),
			(error) => this.hooks.post(() => this.onReadFailed(error)),
		);
	}

	/** True if this leader has read the list and the machine was missing from the latest one. */
	isMissing(machine: string): boolean {
		return this.listedMachineIds !== null && !this.listedMachineIds.has(machine);
	}

	private async readAllPages(): Promise<ListedMachine[]> {
		const all: ListedMachine[] = [];
		let afterId = "";
		for (;;) {
			const { machines, hasMore } = await this.readPage(afterId);
			all.push(...machines);
			const last = machines.at(-1);
			if (!hasMore || !last) return all;
			afterId = last.id;
		}
	}

	/** Reads a page, waiting for the rate limit: a list of thousands takes more calls than the permitted burst. */
	private async readPage(afterId: string): Promise<MachineListPage> {
		for (;;) {
			try {
				return await this.cloud.listMachines(afterId);
			} catch (error) {
				const rateLimited = error instanceof CallError && error.status === 429;
				if (!rateLimited || afterId === "" || this.clock.now() - this.readStartedAt > maxReadDurationMs)
					throw error;
			}
			await new Promise<void>((resolve) => this.clock.after(pageRetryMs, resolve));
		}
	}

	private onListRead(machines: ListedMachine[]): void {
		const now = this.clock.now();
		const readDurationMs = now - this.readStartedAt;
		this.reading = false;
		this.firstReadFinished = true;
		this.nextReadAt = now + Math.max(minReadIntervalMs, this.listLagMs, readDurationMs / maxReadTimeFraction);
		this.listedMachineIds = new Set(machines.map((machine) => machine.id));
		for (const listed of machines) if (!this.hooks.isDeleted(listed.id)) this.reconcile(listed, now);
		this.dropUnlisted(this.listedMachineIds);
	}

	private onReadFailed(error: unknown): void {
		this.reading = false;
		this.nextReadAt = this.clock.now() + retryMs;
		// While the cloud is unavailable scale-out is impossible anyway, so the first scaling round need not wait.
		this.firstReadFinished ||= !(error instanceof CallError) || error.status !== 429;
		this.log.debug({ err: String(error) }, "reading the machine list failed");
	}

	private reconcile(listed: ListedMachine, now: number): void {
		const machine = this.clusterState.machines.get(listed.id) ?? this.addListedMachine(listed, now);
		if (!machine) return;
		machine.agent.setInitialEndpoint(listed.endpoint);
		if (listed.status === "failed" && !machine.lifecycle.deleting) {
			machine.lifecycle.startDeleting();
			this.log.info({ machineId: listed.id }, "machine failed");
		}
	}

	private addListedMachine(listed: ListedMachine, now: number): Machine | null {
		const type = this.clusterState.machineTypes.get(listed.machineType);
		if (!type) return null;
		const machine = new Machine(
			{ id: listed.id, type, zone: listed.zone, spot: listed.spot, origin: "listed" },
			now - listed.ageS * 1000,
			now,
		);
		this.clusterState.addMachine(machine);
		this.log.info({ machineId: listed.id, status: listed.status }, "unknown machine listed");
		return machine;
	}

	/** Drops machines that are known only from an earlier list, never sent a heartbeat and are no longer listed. */
	private dropUnlisted(listedIds: Set<string>): void {
		for (const machine of [...this.clusterState.machines.values()]) {
			if (machine.lifecycle.onlyListed && !machine.agent.running && !listedIds.has(machine.id))
				this.clusterState.removeNonexistentMachine(machine);
		}
	}
}
