import type { MachineListPage, ScaleOutRequest } from "../../protocol/http/cloud-api.js";
import type { MachineType } from "../../protocol/model/machine.js";
export interface CloudPort {
	machineTypes(): Promise<MachineType[]>;
	rent(request: ScaleOutRequest): Promise<string[]>;
	giveBack(machines: string[]): Promise<void>;
	list(after: string): Promise<MachineListPage>;
}
