import type { WorkerCommand, WorkerHeartbeat } from "../../protocol/model/worker.js";
export interface WorkerPort {
	/** Sends orders straight to a worker. The report says whether they were executed. */
	command(
		endpoint: string,
		token: number,
		session: number,
		orders: WorkerCommand[],
	): Promise<{ executed: boolean; report: WorkerHeartbeat }>;
}
