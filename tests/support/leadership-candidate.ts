import assert from "node:assert/strict";
import { Leadership } from "../../src/coordination/leadership/leadership.js";
import { CallError } from "../../src/coordination/ports/call-error.js";
import type { KeyValueStore } from "../../src/coordination/ports/store.js";
import type { Term } from "../../src/protocol/model/identifiers.js";
import type { Cancellation, PeerMessage } from "../../src/protocol/peer/messages.js";
import { StoreClient } from "../../src/transport/clients/store-client.js";
import { FakeTime } from "./fake-time.js";
import { silentLog } from "./silent-log.js";
import { StateService } from "./state-service.js";

export const job = { id: "j-000001", pieces: 2, cores: 2, run_s: 8 };

/** Creates a `Leadership` on the stand-in store that records its messages and callbacks. */
export function candidate(
	otherControllers: string[],
	maxCancellationStalenessMs = 20_000,
	state = { time: new FakeTime() as FakeTime, service: null as StateService | null },
) {
	const time = state.time;
	const service = state.service ?? new StateService(time);
	const sentMessages: PeerMessage[] = [];
	const wonTerms: Term[] = [];
	const resignationReasons: string[] = [];
	const recordedCancellations: string[] = [];
	/** The store replica: synced up to now while the store is available, unless the watch has stalled. */
	const replica = {
		syncedAt: 0,
		watchStalled: false,
		revision: 5,
		cancellationsSince: null as Cancellation[] | null,
	};
	const faults = { dropResponses: false };
	const store: KeyValueStore = new StoreClient({
		http: {
			call: async (method, path, body) => {
				const response = await service.handle(method, path, body, "me");
				if (faults.dropResponses && path === "/multi") throw new CallError("unknown", 0, "no response");
				return response;
			},
			close() {},
		},
		clock: time,
		requestsPerS: 1000,
		writesPerS: 1000,
		controllers: 1,
	});
	const leadership = new Leadership({
		node: "me",
		incarnation: "inc",
		otherControllers,
		settings: { leaseTtlMs: 3000, marginMs: 300, maxCancellationStalenessMs },
		store,
		clock: time,
		log: silentLog,
		post: (action) => action(),
		jitter: () => 0,
		broadcast: (message) => sentMessages.push(message),
		onElected: (term) => wonTerms.push(term),
		onLeadershipLost: (_term, reason) => resignationReasons.push(reason),
		cancellations: {
			syncedAt: () => {
				if (!service.outage && !replica.watchStalled) replica.syncedAt = time.now();
				return replica.syncedAt;
			},
			replicaRevision: () => replica.revision,
			since: () => replica.cancellationsSince,
			record: (cancelled) => recordedCancellations.push(...cancelled.map(({ jobId }) => jobId)),
		},
	});
	const key = () => {
		const row = service.rows.get("r/one/leader");
		return row ? { value: row.v as { node: string; incarnation: string }, revision: row.stamp } : null;
	};
	const run = async (ms: number) => {
		for (let t = 0; t < ms; t += 100) {
			leadership.tick(key(), true);
			await time.advance(100);
		}
	};
	return {
		time,
		service,
		sentMessages,
		wonTerms,
		resignationReasons,
		recordedCancellations,
		replica,
		faults,
		leadership,
		run,
	};
}

/** Elects the candidate and starts an outage of the store; `vote` replies to its lease extension requests for `ms`. */
export async function electedInOutage(c: ReturnType<typeof candidate>) {
	c.leadership.endStartupHoldoff();
	await c.run(500);
	const term = c.wonTerms[0] as Term;
	assert.equal(c.leadership.authorizedTerm(), term);
	c.service.setOutage(true);
	const vote = async (ms: number, votes: Record<string, Cancellation[] | undefined>) => {
		for (let t = 0; t < ms; t += 100) {
			await c.run(100);
			for (const request of c.sentMessages.splice(0)) {
				if (request.kind !== "lease-extension-request") continue;
				for (const [node, cancelled] of Object.entries(votes)) {
					const { requestNumber: number } = request;
					c.leadership.handleMessage(node, {
						kind: "lease-extension-vote",
						term,
						requestNumber: number,
						...(cancelled && { cancellations: cancelled }),
					});
				}
			}
		}
	};
	return { term, vote };
}
