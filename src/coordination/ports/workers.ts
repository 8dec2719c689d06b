import type { Order, WorkerHeartbeat } from "../../protocol/model.js";
export interface WorkerPort {
	/** Sends orders straight to a worker. The report says whether they were executed. */
	command(
		endpoint: string,
		token: number,
		session: number,
		orders: Order[],
	): Promise<{ executed: boolean; report: WorkerHeartbeat }>;
}
