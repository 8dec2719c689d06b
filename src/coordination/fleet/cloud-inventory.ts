import { Machine } from "../../bookkeeping/machine.js";
import type { MachineListPage } from "../../protocol/http/cloud-api.js";
import type { ListedMachine } from "../../protocol/model/machine.js";
import { CallError } from "../ports/call-error.js";
import type { Clock } from "../ports/clock.js";
import type { CloudProvider } from "../ports/cloud.js";
import type { Log } from "../ports/log.js";
import type { ClusterState } from "../state/cluster-state.js";

const leastPauseMs = 5000;
const retryMs = 1500;
/** A list that took longer to read tells of too many different times. */
const mostReadMs = 60_000;
/** A page that was refused for the cloud's rate is asked for again after this. */
const pageRetryMs = 500;
/** Reading a long list must leave most of the rate to rentals and returns. */
const readTimePart = 1 / 3;

export interface CloudInventoryHooks {
	post(command: () => void): void;
	/** Its return was answered: whatever a late list says, it is gone. */
	isDeleted(machine: string): boolean;
}

/**
 * Reads the cloud's machine list now and then and compares it with the tables: machines that
 * nobody expected are taken in, and failed ones go back. A list is late, so what it lacks may
 * be there all the same.
 */
export class CloudInventory {
	private reading = false;
	private readingSince = -Infinity;
	private nextRead = 0;
	private names: Set<string> | null = null;
	/** The list was read once, or cannot be read for now. */
	looked = false;

	constructor(
		private readonly clusterState: ClusterState,
		private readonly cloud: CloudProvider,
		private readonly time: Clock,
		private readonly lagMs: number,
		private readonly hooks: CloudInventoryHooks,
		private readonly log: Log,
	) {}

	/** Called often. */
	tick(now: number): void {
		if (this.reading || now < this.nextRead) return;
		this.reading = true;
		this.readingSince = now;
		this.read().then(
			(machines) => this.hooks.post(() => this.received(machines)),
			(error) => this.hooks.post(() => this.failed(error)),
		);
	}

	/** The cloud has named its machines to this leader, and this one is not among them. */
	lacks(machine: string): boolean {
		return this.names !== null && !this.names.has(machine);
	}

	private async read(): Promise<ListedMachine[]> {
		const all: ListedMachine[] = [];
		let after = "";
		for (;;) {
			const { machines, more } = await this.page(after);
			all.push(...machines);
			const last = machines.at(-1);
			if (!more || !last) return all;
			after = last.id;
		}
	}

	/** A list of thousands takes more calls than one burst of the rate allows. */
	private async page(after: string): Promise<MachineListPage> {
		for (;;) {
			try {
				return await this.cloud.listMachines(after);
			} catch (error) {
				const forItsRate = error instanceof CallError && error.status === 429;
				if (!forItsRate || after === "" || this.time.now() - this.readingSince > mostReadMs) throw error;
			}
			await new Promise<void>((resolve) => this.time.after(pageRetryMs, resolve));
		}
	}

	private received(machines: ListedMachine[]): void {
		const now = this.time.now();
		const tookMs = now - this.readingSince;
		this.reading = false;
		this.looked = true;
		this.nextRead = now + Math.max(leastPauseMs, this.lagMs, tookMs / readTimePart);
		this.names = new Set(machines.map((machine) => machine.id));
		for (const listed of machines) if (!this.hooks.isDeleted(listed.id)) this.reconcile(listed, now);
		this.dropUnlisted(this.names);
	}

	private failed(error: unknown): void {
		this.reading = false;
		this.nextRead = this.time.now() + retryMs;
		// Without the cloud nothing can be rented either; do not hold the rounds up for long.
		this.looked ||= !(error instanceof CallError) || error.status !== 429;
		this.log.debug({ err: String(error) }, "machine list not read");
	}

	private reconcile(listed: ListedMachine, now: number): void {
		const machine = this.clusterState.machines.get(listed.id) ?? this.takeIn(listed, now);
		if (!machine) return;
		machine.agent.endpointLearned(listed.endpoint);
		if (listed.status === "failed" && !machine.lifecycle.deleting) {
			machine.lifecycle.startDeleting();
			this.log.info({ machine: listed.id }, "machine failed");
		}
	}

	private takeIn(listed: ListedMachine, now: number): Machine | null {
		const type = this.clusterState.machineTypes.get(listed.machineType);
		if (!type) return null;
		const machine = new Machine(
			{ id: listed.id, type, zone: listed.zone, spot: listed.spot, origin: "listed" },
			now - listed.ageS * 1000,
		);
		this.clusterState.addMachine(machine);
		this.log.info({ machine: listed.id, status: listed.status }, "unknown machine listed");
		return machine;
	}

	/** One known only from a list, never heard of and no longer listed, is not there. */
	private dropUnlisted(names: Set<string>): void {
		for (const machine of [...this.clusterState.machines.values()]) {
			if (machine.lifecycle.onlyListed && !machine.agent.running && !names.has(machine.id))
				this.clusterState.removeNonexistentMachine(machine);
		}
	}
}
