/** What coordination needs of the cloud that rents machines. */

import type { MachineListPage, ScaleOutRequest } from "../../protocol/http/cloud-api.js";
import type { MachineId } from "../../protocol/model/identifiers.js";
import type { MachineType } from "../../protocol/model/machine.js";

/** The cloud. All calls reject with a CallError. */
export interface CloudProvider {
	/** The machine types on offer, with their present prices. */
	machineTypes(): Promise<MachineType[]>;
	/**
	 * Creates up to the number of machines requested and resolves to those created; none: there is no capacity.
	 * A request that is repeated under the same name creates nothing more.
	 */
	createMachines(request: ScaleOutRequest): Promise<MachineId[]>;
	/** Deletes machines. Once it resolves, the machines and all that ran on them are gone. */
	deleteMachines(machines: MachineId[]): Promise<void>;
	/** One page of the list of machines, beginning after the machine named; empty: from the first. */
	listMachines(after: MachineId): Promise<MachineListPage>;
}
