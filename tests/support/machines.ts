/** Machines, attempts and heartbeats for tests that need no simulated worker. */

import { Attempt, type AttemptDescription } from "../../src/bookkeeping/attempt.js";
import { Job } from "../../src/bookkeeping/job.js";
import { Machine, type MachineDescription } from "../../src/bookkeeping/machine.js";
import type { JobSpec } from "../../src/protocol/model/job.js";
import type { WorkerHeartbeat } from "../../src/protocol/model/worker.js";
import { mediumType, specOf } from "./specs.js";

/** Returns a spot machine of the medium type, added at monotonic time 0, with the given fields replaced. */
export function machineOf(more: Partial<MachineDescription> = {}): Machine {
	return new Machine({ id: "n-1", type: mediumType, zone: "a", spot: true, origin: "created", ...more }, 0);
}

/** Returns a job whose tasks all wait, accepted at the beginning of 1970. */
export function jobOf(id: string, more: Partial<JobSpec> = {}): Job {
	const job = new Job(id, specOf(id, more), 0, 1);
	job.resetWaitingTasks();
	return job;
}

/** Returns an assigned attempt at the job's first task that is in neither the job's nor the machine's records. */
export function attemptOf(job: Job, machine: Machine, more: Partial<AttemptDescription> = {}): Attempt {
	return new Attempt({ job, taskIndex: 0, number: 1, machine, phase: "assigned", ...more });
}

/** Returns a heartbeat of the machine's worker without tasks, with the given fields replaced. */
export function heartbeatOf(machine: Machine, more: Partial<WorkerHeartbeat> = {}): WorkerHeartbeat {
	return {
		machineId: machine.id,
		endpoint: `${machine.id}:9000`,
		machineType: machine.type.name,
		zone: machine.zone,
		spot: machine.spot,
		agentEpoch: 1,
		sequence: Number(machine.agent.sequence) + 1,
		fencingToken: 0,
		reclaimInS: null,
		tasks: [],
		...more,
	};
}

/** Marks the leader's fencing token as confirmed by the machine's worker and the machine's record as stored. */
export function makeSchedulable(machine: Machine, now = Number.NEGATIVE_INFINITY): void {
	machine.agent.heartbeatReceived(heartbeatOf(machine), now);
	machine.agent.fencingConfirmed();
	machine.lifecycle.markRecorded();
}
