/** Messages between controllers in their form on the wire and decoded, also those of earlier versions. */

import type { PeerMessage } from "../../src/protocol/peer/messages.js";

interface WireExample<Message> {
	/** The case that the example covers. */
	description: string;
	wire: object;
	message: Message;
}

type ExamplesByKind = { [Kind in PeerMessage["kind"]]: WireExample<Extract<PeerMessage, { kind: Kind }>>[] };

/** Examples of each kind of message, in the form on the wire and decoded. */
export const messageExamples: ExamplesByKind = {
	"placement-request": [
		{
			description: "every field",
			wire: {
				kind: "view",
				epoch: 21,
				cycle: 8,
				start: 3,
				machines: [
					{
						id: "n-000231",
						type: "g8",
						zone: "a",
						spot: true,
						cpus: 12.5,
						gpus: 2,
						memory: 96,
						slots: 7,
						images: ["img-07"],
					},
				],
				grants: [
					{
						job: "j-000412",
						count: 4,
						avoid: ["n-000007"],
						zones: { a: 2 },
						beside: ["n-000009"],
					},
				],
				quota: { allotments: [1] },
			},
			message: {
				kind: "placement-request",
				term: 21,
				cycle: 8,
				startIndex: 3,
				machines: [
					{
						id: "n-000231",
						type: "g8",
						zone: "a",
						spot: true,
						cpus: 12.5,
						gpus: 2,
						memory: 96,
						slots: 7,
						images: ["img-07"],
					},
				],
				grants: [
					{
						jobId: "j-000412",
						count: 4,
						avoidedMachines: ["n-000007"],
						tasksByZone: { a: 2 },
						replicaMachines: ["n-000009"],
					},
				],
				teamQuota: { allotments: [1] },
			},
		},
		{
			description: "a version before 0.5.0, which supports neither replicas nor team quota",
			wire: {
				kind: "view",
				epoch: 21,
				cycle: 8,
				start: 0,
				machines: [],
				grants: [{ job: "j-000412", count: 1, avoid: [], zones: {} }],
			},
			message: {
				kind: "placement-request",
				term: 21,
				cycle: 8,
				startIndex: 0,
				machines: [],
				grants: [{ jobId: "j-000412", count: 1, avoidedMachines: [], tasksByZone: {} }],
			},
		},
	],
	"placement-proposal": [
		{
			description: "every field",
			wire: {
				kind: "placed",
				epoch: 21,
				cycle: 8,
				placements: [{ job: "j-000412", machine: "n-000231", count: 3 }],
				unknown: ["j-000413"],
				quota: ["batch", 7],
			},
			message: {
				kind: "placement-proposal",
				term: 21,
				cycle: 8,
				placements: [{ jobId: "j-000412", machineId: "n-000231", count: 3 }],
				unknownJobs: ["j-000413"],
				teamQuota: ["batch", 7],
			},
		},
		{
			description: "no placements, team quota disabled",
			wire: { kind: "placed", epoch: 21, cycle: 9, placements: [], unknown: [] },
			message: { kind: "placement-proposal", term: 21, cycle: 9, placements: [], unknownJobs: [] },
		},
	],
	"leader-heartbeat": [
		{
			description: "every field",
			wire: {
				kind: "running",
				epoch: 21,
				counts: [["j-000412", 3]],
				served: true,
				hearing: false,
				relay: true,
				quota: { terms: [] },
			},
			message: {
				kind: "leader-heartbeat",
				term: 21,
				runningTasks: [["j-000412", 3]],
				storeReachable: true,
				workersReachable: false,
				forwardHeartbeats: true,
				teamQuota: { terms: [] },
			},
		},
		{
			description: "no running tasks, team quota disabled",
			wire: { kind: "running", epoch: 21, counts: [], served: false, hearing: true, relay: false },
			message: {
				kind: "leader-heartbeat",
				term: 21,
				runningTasks: [],
				storeReachable: false,
				workersReachable: true,
				forwardHeartbeats: false,
			},
		},
	],
	"leader-heartbeat-reply": [
		{
			description: "every field",
			wire: {
				kind: "pong",
				epoch: 21,
				strays: 2,
				standing: true,
				process: "3f9a0c",
				quota: { charges: [] },
			},
			message: {
				kind: "leader-heartbeat-reply",
				term: 21,
				misdirectedWorkers: 2,
				supportsServiceJobs: true,
				incarnation: "3f9a0c",
				teamQuota: { charges: [] },
			},
		},
		{
			description: "a version up to 0.8.0, which does not name its process",
			wire: { kind: "pong", epoch: 21, strays: 2, standing: true, quota: { charges: [] } },
			message: {
				kind: "leader-heartbeat-reply",
				term: 21,
				misdirectedWorkers: 2,
				supportsServiceJobs: true,
				teamQuota: { charges: [] },
			},
		},
		{
			description: "a version before 0.5.0, which does not support service jobs",
			wire: { kind: "pong", epoch: 21, strays: 0 },
			message: { kind: "leader-heartbeat-reply", term: 21, misdirectedWorkers: 0 },
		},
	],
	"forwarded-heartbeats": [
		{
			description: "every task state and every exit cause",
			wire: {
				kind: "reports",
				epoch: 21,
				process: "3f9a0c",
				reports: [
					[
						5,
						[
							"n-000231",
							"10.1.0.232:9000",
							"g8",
							"a",
							true,
							2,
							88,
							41,
							12.5,
							[
								["j-000412", 0, 1, 0, -1, false],
								["j-000412", 1, 2, 1, -1, false],
								["j-000412", 2, 3, 2, -1, false],
								["j-000412", 3, 1, 3, 0, false],
								["j-000412", 4, 1, 3, 1, true],
								["j-000412", 5, 1, 3, 2, false],
								["j-000412", 6, 1, 3, 3, false],
								["j-000412", 7, 1, 3, 4, false],
								["j-000412", 8, 1, 3, 5, false],
							],
						],
					],
					[6, ["n-000232", "10.1.0.233:9000", "c4", "b", false, 1, 1, 0, null, []]],
				],
			},
			message: {
				kind: "forwarded-heartbeats",
				term: 21,
				incarnation: "3f9a0c",
				heartbeats: [
					{
						requestId: 5,
						heartbeat: {
							machineId: "n-000231",
							endpoint: "10.1.0.232:9000",
							machineType: "g8",
							zone: "a",
							spot: true,
							agentEpoch: 2,
							sequence: 88,
							fencingToken: 41,
							reclaimInS: 12.5,
							tasks: [
								{ ...taskOf(0, 1), state: "fetching", exitCause: null, checkpointed: false },
								{ ...taskOf(1, 2), state: "running", exitCause: null, checkpointed: false },
								{ ...taskOf(2, 3), state: "checkpointing", exitCause: null, checkpointed: false },
								{ ...taskOf(3, 1), state: "exited", exitCause: "done", checkpointed: false },
								{ ...taskOf(4, 1), state: "exited", exitCause: "stopped", checkpointed: true },
								{ ...taskOf(5, 1), state: "exited", exitCause: "error", checkpointed: false },
								{ ...taskOf(6, 1), state: "exited", exitCause: "no_room", checkpointed: false },
								{ ...taskOf(7, 1), state: "exited", exitCause: "busy", checkpointed: false },
								{ ...taskOf(8, 1), state: "exited", exitCause: "unknown", checkpointed: false },
							],
						},
					},
					{
						requestId: 6,
						heartbeat: {
							machineId: "n-000232",
							endpoint: "10.1.0.233:9000",
							machineType: "c4",
							zone: "b",
							spot: false,
							agentEpoch: 1,
							sequence: 1,
							fencingToken: 0,
							reclaimInS: null,
							tasks: [],
						},
					},
				],
			},
		},
		{
			description: "a version up to 0.8.0, which does not name its process",
			wire: { kind: "reports", epoch: 21, reports: [] },
			message: { kind: "forwarded-heartbeats", term: 21, heartbeats: [] },
		},
	],
	"forwarded-responses": [
		{
			description: "every command, a response without commands, and a rejection",
			wire: {
				kind: "answers",
				epoch: 21,
				process: "3f9a0c",
				answers: [
					[
						5,
						[
							{ op: "start", job: "j-000412", index: 4, attempt: 2 },
							{ op: "stop", job: "j-000377", index: 1, attempt: 1, graceS: 10 },
							{ op: "forget", job: "j-000398", index: 0, attempt: 1 },
						],
					],
					[6, []],
					[7, null],
				],
			},
			message: {
				kind: "forwarded-responses",
				term: 21,
				incarnation: "3f9a0c",
				responses: [
					{
						requestId: 5,
						commands: [
							{ kind: "start", jobId: "j-000412", taskIndex: 4, attempt: 2 },
							{ kind: "stop", jobId: "j-000377", taskIndex: 1, attempt: 1, graceS: 10 },
							{ kind: "forget", jobId: "j-000398", taskIndex: 0, attempt: 1 },
						],
					},
					{ requestId: 6, commands: [] },
					{ requestId: 7, commands: null },
				],
			},
		},
		{
			description: "a version up to 0.8.0, which does not name the forwarding process",
			wire: { kind: "answers", epoch: 21, answers: [[5, []]] },
			message: { kind: "forwarded-responses", term: 21, responses: [{ requestId: 5, commands: [] }] },
		},
	],
	"lease-extension-request": [
		{
			description: "every field",
			wire: { kind: "ask", epoch: 21, number: 4, known: 412 },
			message: { kind: "lease-extension-request", term: 21, requestNumber: 4, replicaRevision: 412 },
		},
		{
			description: "a version before 0.4.0, which omits the revision of its replica",
			wire: { kind: "ask", epoch: 21, number: 4 },
			message: { kind: "lease-extension-request", term: 21, requestNumber: 4 },
		},
	],
	"lease-extension-vote": [
		{
			description: "every field",
			wire: { kind: "promise", epoch: 21, number: 4, cancelled: [["j-000412", 415, 16, 3]] },
			message: {
				kind: "lease-extension-vote",
				term: 21,
				requestNumber: 4,
				cancellations: [{ jobId: "j-000412", revision: 415, taskCount: 16, doneCount: 3 }],
			},
		},
		{
			description: "a controller that cannot list the cancellations",
			wire: { kind: "promise", epoch: 21, number: 4 },
			message: { kind: "lease-extension-vote", term: 21, requestNumber: 4 },
		},
	],
	"leader-query": [
		{
			description: "every field",
			wire: { kind: "who", epoch: 0, asker: "3f9a0c" },
			message: { kind: "leader-query", term: 0, incarnation: "3f9a0c" },
		},
	],
	"leader-query-reply": [
		{
			description: "every field",
			wire: { kind: "leading", epoch: 21, leading: true, asker: "3f9a0c" },
			message: { kind: "leader-query-reply", term: 21, isLeader: true, incarnation: "3f9a0c" },
		},
	],
};

function taskOf(taskIndex: number, attempt: number) {
	return { jobId: "j-000412", taskIndex, attempt };
}
