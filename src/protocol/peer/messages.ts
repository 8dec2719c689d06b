/**
 * Messages between controllers, as the service uses them. How each looks on the wire is known by the modules
 * beside this one, which `codec.ts` brings together: versions in production keep the historic names there.
 */

import type { Incarnation, JobId, MachineId, NodeId, Revision, Term } from "../model/identifiers.js";
import type { WorkerCommand, WorkerHeartbeat } from "../model/worker.js";

/** A machine's free capacity, as a placement request shows it. */
export interface MachineCapacity {
	id: MachineId;
	type: string;
	zone: string;
	spot: boolean;
	/** Free amounts; memory in GB. */
	cpus: number;
	gpus: number;
	memory: number;
	/** Most tasks that may be added. */
	slots: number;
	/** Images that the machine should have in its cache. */
	images: string[];
}

/** How many tasks of a job may start now, by quota and order of service; decided by the leader. */
export interface Grant {
	jobId: JobId;
	count: number;
	/** Machines on which tasks of the job have failed. */
	avoidedMachines: MachineId[];
	/** Tasks of the job that may be running anywhere, by zone; empty where the job has no zone rule. */
	tasksByZone: Record<string, number>;
	/** Machines that may run replicas of the job already; versions before 0.5.0 leave it out. */
	replicaMachines?: MachineId[] | undefined;
}

/** A placer's proposal to start that many tasks of the job on the machine. */
export interface Placement {
	jobId: JobId;
	machineId: MachineId;
	count: number;
}

/** Leader to placer: free capacity, and how many tasks of each job may start. */
export interface PlacementRequest {
	kind: "placement-request";
	term: Term;
	/** Counts the placement cycles of the term. */
	cycle: number;
	/** Index of the machine with which this placer begins, so that placers seldom compete for the same one. */
	startIndex: number;
	machines: MachineCapacity[];
	grants: Grant[];
	/** Team quota's message to the holder, which its package decodes; left out where team quota is off. */
	teamQuota?: unknown;
}

/** Placer to leader: where the granted tasks should start. */
export interface PlacementProposal {
	kind: "placement-proposal";
	term: Term;
	cycle: number;
	placements: Placement[];
	/** Granted jobs that the placer's replica of the store lacks. */
	unknownJobs: JobId[];
	/** Team quota's reply, with the batch of admissions that the placements belong to. */
	teamQuota?: unknown;
}

/** Tasks of a job that run, shown to users by every controller. */
export type RunningTaskCount = [jobId: JobId, running: number];

/** Leader to every other controller, twice a second. */
export interface LeaderHeartbeat {
	kind: "leader-heartbeat";
	term: Term;
	runningTasks: RunningTaskCount[];
	/** The store answers the leader. */
	storeReachable: boolean;
	/** Most workers reach the leader. */
	workersReachable: boolean;
	/** Every controller may receive workers' heartbeats and is to forward them to the leader. */
	forwardHeartbeats: boolean;
	/** As in a placement request. */
	teamQuota?: unknown;
}

/** Answer to a leader heartbeat; also sent unasked by a controller to which the leader's workers turn. */
export interface LeaderHeartbeatReply {
	kind: "leader-heartbeat-reply";
	term: Term;
	/** Workers whose heartbeats came to this controller lately although it does not lead. */
	misdirectedWorkers: number;
	/** This controller serves service jobs; versions before 0.5.0 leave it out. */
	supportsServiceJobs?: boolean | undefined;
	/** Team quota's reply; left out by versions before 0.8.0 and where team quota is off. */
	teamQuota?: unknown;
}

/** A worker's heartbeat with a number of the controller that forwards it. */
export interface ForwardedHeartbeat {
	requestId: number;
	heartbeat: WorkerHeartbeat;
}

/** Controller to leader: heartbeats of workers, gathered for a moment. */
export interface ForwardedHeartbeats {
	kind: "forwarded-heartbeats";
	term: Term;
	heartbeats: ForwardedHeartbeat[];
}

/** What the worker behind a forwarded heartbeat is to be told; null: this leader may not answer it. */
export interface ForwardedResponse {
	requestId: number;
	commands: WorkerCommand[] | null;
}

/** Leader to forwarding controller, in answer to forwarded heartbeats. */
export interface ForwardedResponses {
	kind: "forwarded-responses";
	term: Term;
	responses: ForwardedResponse[];
}

/**
 * Leader to every other controller while the store refuses it: are you refused too, and will you not campaign
 * for the duration of a lease?
 */
export interface LeaseExtensionRequest {
	kind: "lease-extension-request";
	term: Term;
	/** Counts the requests of the leader's process. */
	requestNumber: number;
	/** Revision up to which the leader knows the store; versions before 0.4.0 leave it out. */
	replicaRevision?: Revision | undefined;
}

/** A cancellation that a user was told of. */
export interface Cancellation {
	jobId: JobId;
	/** Revision of the write that cancelled the job. */
	revision: Revision;
	taskCount: number;
	/** Tasks that were done when the job was cancelled. */
	doneCount: number;
}

/** The vote of a controller that will not campaign for the duration of a lease. */
export interface LeaseExtensionVote {
	kind: "lease-extension-vote";
	term: Term;
	requestNumber: number;
	/**
	 * Every cancellation after the leader's revision that this controller can have told a user of. Left out by
	 * one that cannot say, such as a version before 0.4.0.
	 */
	cancellations?: Cancellation[] | undefined;
}

/** A process that has just started, to every other controller: do you lead? */
export interface LeaderQuery {
	kind: "leader-query";
	/** Always 0: the asking process knows no term. */
	term: Term;
	/** The process that asks. */
	incarnation: Incarnation;
}

/** Answer to a leader query. */
export interface LeaderQueryReply {
	kind: "leader-query-reply";
	/** The term that the answering controller leads; 0: none. */
	term: Term;
	isLeader: boolean;
	/** The process that asked, so that a late copy of an answer to an earlier process is recognized. */
	incarnation: Incarnation;
}

/** Any message between controllers. */
export type PeerMessage =
	| PlacementRequest
	| PlacementProposal
	| LeaderHeartbeat
	| LeaderHeartbeatReply
	| ForwardedHeartbeats
	| ForwardedResponses
	| LeaseExtensionRequest
	| LeaseExtensionVote
	| LeaderQuery
	| LeaderQueryReply;

/** What leadership exchanges with the other controllers. */
export type LeadershipMessage = LeaseExtensionRequest | LeaseExtensionVote | LeaderQuery | LeaderQueryReply;

/** A message with the controller that sent it. */
export interface ReceivedMessage<Message extends PeerMessage = PeerMessage> {
	from: NodeId;
	message: Message;
}
