import assert from "node:assert/strict";
import { Leadership } from "../../src/coordination/leadership/leadership.js";
import { CallError } from "../../src/coordination/ports/call-error.js";
import type { KeyValueStore } from "../../src/coordination/ports/store.js";
import type { Cancellation, PeerMessage } from "../../src/protocol/peer/messages.js";
import { StoreClient } from "../../src/transport/clients/store-client.js";
import { FakeTime } from "./fake-time.js";
import { silentLog } from "./silent-log.js";
import { StateService } from "./state-service.js";

export const job = { id: "j-000001", pieces: 2, cores: 2, runs: 8 };

/** One Leadership against the stand-in store, with what it tells others kept. */
export function candidate(
	others: string[],
	unknowingMs = 20_000,
	state = { time: new FakeTime() as FakeTime, service: null as StateService | null },
) {
	const time = state.time;
	const service = state.service ?? new StateService(time);
	const told: PeerMessage[] = [];
	const won: number[] = [];
	const lost: string[] = [];
	const learnt: string[] = [];
	/** What its local copy knows: all up to now, while the store answers its watch. */
	const copy = { knownAt: 0, stuck: false, epoch: 5, cancelled: null as Cancellation[] | null };
	const faults = { loseAnswers: false };
	const store: KeyValueStore = new StoreClient({
		http: {
			call: async (method, path, body) => {
				const answer = await service.handle(method, path, body, "me");
				if (faults.loseAnswers && path === "/multi") throw new CallError("unknown", 0, "no answer");
				return answer;
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
		otherControllers: others,
		settings: { leaseTtlMs: 3000, marginMs: 300, maxCancellationStalenessMs: unknowingMs },
		store,
		clock: time,
		log: silentLog,
		post: (action) => action(),
		jitter: () => 0,
		broadcast: (message) => told.push(message),
		onElected: (term) => won.push(term),
		onLeadershipLost: (_term, reason) => lost.push(reason),
		cancellations: {
			syncedAt: () => {
				if (!service.outage && !copy.stuck) copy.knownAt = time.now();
				return copy.knownAt;
			},
			replicaRevision: () => copy.epoch,
			since: () => copy.cancelled,
			record: (cancelled) => learnt.push(...cancelled.map(({ jobId }) => jobId)),
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
	return { time, service, told, won, lost, learnt, copy, faults, leadership, run };
}

/** Wins the key, then answers every question as the others would, for so long. */
export async function inOutage(c: ReturnType<typeof candidate>) {
	c.leadership.endStartupHoldoff();
	await c.run(500);
	const epoch = c.won[0] as number;
	assert.equal(c.leadership.authorizedTerm(), epoch);
	c.service.setOutage(true);
	const answer = async (ms: number, answers: Record<string, Cancellation[] | undefined>) => {
		for (let t = 0; t < ms; t += 100) {
			await c.run(100);
			for (const ask of c.told.splice(0)) {
				if (ask.kind !== "lease-extension-request") continue;
				for (const [node, cancelled] of Object.entries(answers)) {
					const { requestNumber: number } = ask;
					c.leadership.handleMessage(node, {
						kind: "lease-extension-vote",
						term: epoch,
						requestNumber: number,
						...(cancelled && { cancellations: cancelled }),
					});
				}
			}
		}
	};
	return { epoch, answer };
}
