/** The cloud that rents out machines, as coordination uses it. */

import type { MachineListPage, ScaleOutRequest } from "../../protocol/http/cloud-api.js";
import type { MachineId } from "../../protocol/model/identifiers.js";
import type { MachineType } from "../../protocol/model/machine.js";

/** The cloud. All calls reject with a CallError. */
export interface CloudProvider {
	/** Returns the machine types on offer, with their current prices. */
	machineTypes(): Promise<MachineType[]>;
	/**
	 * Creates up to the requested number of machines and resolves to those created; none if there is no capacity.
	 * Idempotent: a request that is repeated under the same name creates no further machines.
	 */
	createMachines(request: ScaleOutRequest): Promise<MachineId[]>;
	/** Deletes machines. Once it resolves, the machines and all tasks on them have ended. */
	deleteMachines(machines: MachineId[]): Promise<void>;
	/** Returns one page of the list of machines, starting after the given machine; empty: at the first. */
	listMachines(after: MachineId): Promise<MachineListPage>;
}
