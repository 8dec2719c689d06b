/**
 * Messages between controllers in their decoded form. The `*-wire.ts` modules in this folder, combined by
 * `codec.ts`, define their form on the wire, which keeps the historic names of the versions in production.
 */

import type { Incarnation, JobId, MachineId, NodeId, Revision, Term } from "../model/identifiers.js";
import type { WorkerCommand, WorkerHeartbeat } from "../model/worker.js";

/** The free capacity of a machine in a placement request. */
export interface MachineCapacity {
	id: MachineId;
	type: string;
	zone: string;
	spot: boolean;
	/** Free resources; memory in GB. */
	cpus: number;
	gpus: number;
	memory: number;
	/** The maximum number of further tasks. */
	slots: number;
	/** Images that the machine is expected to have in its cache. */
	images: string[];
}

/** The number of tasks of a job that may start now, which the leader determines by quota and scheduling order. */
export interface Grant {
	jobId: JobId;
	count: number;
	/** Machines on which tasks of the job have failed. */
	avoidedMachines: MachineId[];
	/** The numbers of the job's tasks that may be running, by zone; empty if the job has no zone constraint. */
	tasksByZone: Record<string, number>;
	/** Machines that may already run replicas of the job; versions before 0.5.0 omit the field. */
	replicaMachines?: MachineId[] | undefined;
}

/** A placer's proposal to start `count` tasks of the job on the machine. */
export interface Placement {
	jobId: JobId;
	machineId: MachineId;
	count: number;
}

/** Sent by the leader to a placer: free capacity, and the number of tasks of each job that may start. */
export interface PlacementRequest {
	kind: "placement-request";
	term: Term;
	/** The number of the placement cycle within the term. */
	cycle: number;
	/**
	 * Index of the machine with which this placer begins. It differs between placers, so that they seldom compete
	 * for the same machine.
	 */
	startIndex: number;
	machines: MachineCapacity[];
	grants: Grant[];
	/**
	 * The message of team quota to the holder, which the team quota package decodes; omitted if team quota is
	 * disabled.
	 */
	teamQuota?: unknown;
}

/** Sent by a placer to the leader: the machines on which the granted tasks should start. */
export interface PlacementProposal {
	kind: "placement-proposal";
	term: Term;
	cycle: number;
	placements: Placement[];
	/** Granted jobs that are missing in the placer's store replica. */
	unknownJobs: JobId[];
	/** The reply of team quota, with the batch of admissions to which the placements belong. */
	teamQuota?: unknown;
}

/** The number of running tasks of a job, which every controller shows to users. */
export type RunningTaskCount = [jobId: JobId, running: number];

/** Sent by the leader to every other controller, twice a second. */
export interface LeaderHeartbeat {
	kind: "leader-heartbeat";
	term: Term;
	runningTasks: RunningTaskCount[];
	/** The store responds to the leader. */
	storeReachable: boolean;
	/** At least half of the workers reach the leader. */
	workersReachable: boolean;
	/** Every controller may receive workers' heartbeats and must forward them to the leader. */
	forwardHeartbeats: boolean;
	/** As in a placement request. */
	teamQuota?: unknown;
}

/**
 * The reply to a leader heartbeat. A controller also sends it without a leader heartbeat when the leader's workers
 * send their heartbeats to that controller.
 */
export interface LeaderHeartbeatReply {
	kind: "leader-heartbeat-reply";
	term: Term;
	/** The number of workers that recently sent heartbeats to this controller although it is not the leader. */
	misdirectedWorkers: number;
	/** This controller supports service jobs; versions before 0.5.0 omit the field. */
	supportsServiceJobs?: boolean | undefined;
	/** The replying process; versions up to 0.8.0 omit the field. */
	incarnation?: Incarnation | undefined;
	/** The reply of team quota; omitted by versions before 0.8.0, and if team quota is disabled. */
	teamQuota?: unknown;
}

/** A worker's heartbeat with a request id of the controller that forwards it. */
export interface ForwardedHeartbeat {
	requestId: number;
	heartbeat: WorkerHeartbeat;
}

/** Sent by a controller to the leader: the workers' heartbeats of a short batch window. */
export interface ForwardedHeartbeats {
	kind: "forwarded-heartbeats";
	term: Term;
	/** The forwarding process; versions up to 0.8.0 omit the field. */
	incarnation?: Incarnation | undefined;
	heartbeats: ForwardedHeartbeat[];
}

/** The commands for the worker of a forwarded heartbeat; null: this leader may not respond to the worker. */
export interface ForwardedResponse {
	requestId: number;
	commands: WorkerCommand[] | null;
}

/** Sent by the leader to a forwarding controller: the responses to forwarded heartbeats. */
export interface ForwardedResponses {
	kind: "forwarded-responses";
	term: Term;
	/**
	 * The process that forwarded the heartbeats. The next process of its node, which receives the message if that one
	 * has ended, must not use the responses. Versions up to 0.8.0 omit the field.
	 */
	incarnation?: Incarnation | undefined;
	responses: ForwardedResponse[];
}

/**
 * Sent by the leader to every other controller while the store refuses the leader's requests. It asks the receiver
 * to vote if the store refuses its requests too, and not to campaign for the duration of a lease after the vote.
 */
export interface LeaseExtensionRequest {
	kind: "lease-extension-request";
	term: Term;
	/** The number of the request, counted by the leader's process. */
	requestNumber: number;
	/** Revision up to which the leader's store replica is complete; versions before 0.4.0 omit the field. */
	replicaRevision?: Revision | undefined;
}

/** A cancellation that was confirmed to a user. */
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
	 * Every cancellation after the revision of the leader's replica that this controller may have confirmed to a
	 * user. Omitted by a controller that cannot list them all, such as one of a version before 0.4.0.
	 */
	cancellations?: Cancellation[] | undefined;
}

/** Sent by a process that has just started to every other controller, to ask if the receiver is the leader. */
export interface LeaderQuery {
	kind: "leader-query";
	/** Always 0, because the sending process has no record of a term. */
	term: Term;
	/** The sending process. */
	incarnation: Incarnation;
}

/** The reply to a leader query. */
export interface LeaderQueryReply {
	kind: "leader-query-reply";
	/** The term in which the replying controller is the leader; 0: it is not the leader. */
	term: Term;
	isLeader: boolean;
	/** The process that sent the query, so that a delayed reply to an earlier process is recognized. */
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

/** The messages of the leadership protocol between controllers. */
export type LeadershipMessage = LeaseExtensionRequest | LeaseExtensionVote | LeaderQuery | LeaderQueryReply;

/** A message with the controller that sent it. */
export interface ReceivedMessage<Message extends PeerMessage = PeerMessage> {
	from: NodeId;
	message: Message;
}
