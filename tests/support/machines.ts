/** Machines, attempts and heartbeats for tests that need no simulated worker. */

import { Attempt, type AttemptDescription } from "../../src/bookkeeping/attempt.js";
import { Job } from "../../src/bookkeeping/job.js";
import { Machine, type MachineDescription } from "../../src/bookkeeping/machine.js";
import type { JobSpec } from "../../src/protocol/model/job.js";
import type { WorkerHeartbeat } from "../../src/protocol/model/worker.js";
import { mediumType, specOf } from "./specs.js";

/** A spot machine of the medium type, known since steady time 0, with what a test wants otherwise. */
export function machineOf(more: Partial<MachineDescription> = {}): Machine {
	return new Machine({ id: "n-1", type: mediumType, zone: "a", spot: true, origin: "created", ...more }, 0);
}

/** A job whose tasks all wait, accepted at the beginning of 1970. */
export function jobOf(id: string, more: Partial<JobSpec> = {}): Job {
	const job = new Job(id, specOf(id, more), 0, 1);
	job.resetWaitingTasks();
	return job;
}

/** An attempt at the job's first task that has been assigned to the machine; neither of them knows of it. */
export function attemptOf(job: Job, machine: Machine, more: Partial<AttemptDescription> = {}): Attempt {
	return new Attempt({ job, taskIndex: 0, number: 1, machine, phase: "assigned", ...more });
}

/** A heartbeat of the machine's worker without tasks, with what a test wants otherwise. */
export function heartbeatOf(machine: Machine, more: Partial<WorkerHeartbeat> = {}): WorkerHeartbeat {
	return {
		machineId: machine.id,
		endpoint: `${machine.id}:9000`,
		machineType: machine.type.name,
		zone: machine.zone,
		spot: machine.spot,
		agentEpoch: 1,
		sequence: machine.agent.sequence + 1,
		fencingToken: 0,
		reclaimInS: null,
		tasks: [],
		...more,
	};
}

/** The machine's worker has shown the leader's fencing token, and its record is in the store. */
export function makeSchedulable(machine: Machine, now = Number.NEGATIVE_INFINITY): void {
	machine.agent.heartbeatReceived(heartbeatOf(machine), now);
	machine.agent.fencingConfirmed();
	machine.lifecycle.markRecorded();
}
