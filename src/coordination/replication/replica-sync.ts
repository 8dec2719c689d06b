/**
 * Keeps the replica up with the store: loads it, and then follows the changes by a long watch.
 *
 * Silence of the watch is never taken for "nothing has changed". Where an answer must not be older than any given
 * before, a read barrier asks the store anew: a watch that does not wait returns every change up to its own
 * revision.
 */

import type { StoreReplica } from "../../bookkeeping/store-replica.js";
import type { StoreEvent } from "../../protocol/http/store-api.js";
import type { Revision } from "../../protocol/model/identifiers.js";
import { keys } from "../../protocol/records/keys.js";
import { CallError } from "../ports/call-error.js";
import type { Clock, Timer } from "../ports/clock.js";
import type { Log } from "../ports/log.js";
import type { KeyValueStore } from "../ports/store.js";
import { type CatchUpHandlers, ReadBarriers } from "./read-barriers.js";
import { ReplicaAudit } from "./replica-audit.js";
import { StoreResponsiveness } from "./store-responsiveness.js";

/** A watch without changes is answered after this. */
const watchMs = 2500;

/** Pause after a watch that brought changes: each answer costs a request, and changes of a moment come together. */
const pauseAfterChangesMs = 100;

/** Pause after a watch that failed. */
const retryMs = 200;

/** A store that is silent for longer than this, while calls fail, counts as unresponsive. */
const unresponsiveAfterMs = watchMs + 1500;

/** What replica sync needs. */
export interface ReplicaSyncOptions {
	replica: StoreReplica;
	store: KeyValueStore;
	clock: Clock;
	log: Log;
	/** Runs an action in the process's serial executor, where the replica is changed. */
	post(action: () => void): void;
}

/** Changes after a revision, and the revision up to which they are complete. */
interface WatchAnswer {
	events: StoreEvent[];
	revision: Revision;
}

/** Owns the watch, and how old the replica is. */
export class ReplicaSync {
	#syncedAt = -Infinity;
	private stopped = false;
	private watchTimer: Timer | null = null;
	private reloading: Promise<void> | null = null;
	private readonly responsiveness: StoreResponsiveness;
	private readonly barriers: ReadBarriers;
	private readonly audit: ReplicaAudit;

	constructor(private readonly options: ReplicaSyncOptions) {
		const { clock, post } = options;
		this.responsiveness = new StoreResponsiveness(clock, unresponsiveAfterMs);
		this.barriers = new ReadBarriers({
			clock,
			responsiveness: this.responsiveness,
			post,
			catchUp: (handlers) => void this.catchUp(handlers),
		});
		this.audit = new ReplicaAudit({
			...options,
			readBarrier: () => this.readBarrier(),
			reload: () => this.reload(),
		});
	}

	/** Begins to load the replica. */
	start(): void {
		this.watch();
		this.audit.start();
	}

	/** Nothing is requested any more; read barriers that wait are rejected. Calls under way come to their own end. */
	stop(): void {
		this.stopped = true;
		this.watchTimer?.cancel();
		this.audit.stop();
		this.barriers.stop();
	}

	/**
	 * Steady time up to which every change of the store is in the replica: the sending of the latest request whose
	 * answer covers it. The time of the answer says nothing, since it may be held up on its way or wait while the
	 * process pauses. Test: "what is known is as old as the request that brought it ..." in replica-sync.test.ts.
	 */
	get syncedAt(): number {
		return this.#syncedAt;
	}

	/** Steady time at which the store last answered. */
	get lastResponseAt(): number {
		return this.responsiveness.lastResponseAt;
	}

	/** Nothing was heard of the store for longer than a watch lasts, and calls fail. */
	get unresponsive(): boolean {
		return this.responsiveness.unresponsive;
	}

	/** Throws a CallError where a call to the store would only keep its user waiting. */
	assertResponsive(): void {
		this.responsiveness.assertResponsive();
	}

	/** The process has paused: the store was not silent meanwhile, nobody listened. */
	onProcessPause(): void {
		this.responsiveness.onProcessPause();
	}

	/**
	 * Resolves once the replica holds all that was in the store at the call. Rejects with a CallError if the store
	 * does not answer, or if `stop` is called first.
	 */
	readBarrier(): Promise<void> {
		return this.barriers.wait();
	}

	// --- the watch ---

	/** One round; the next follows when it has ended. */
	private watch(): void {
		if (this.stopped) return;
		if (this.options.replica.loaded) void this.watchChanges();
		else void this.watchAfterLoad();
	}

	private watchAfter(ms: number): void {
		if (this.stopped) return;
		this.watchTimer = this.options.clock.after(ms, () => this.watch());
	}

	private async watchChanges(): Promise<void> {
		const { replica, store, clock, post } = this.options;
		const from = replica.revision;
		const sentAt = clock.now();
		// While the store is unresponsive, short calls find out soon that it answers again.
		const waitMs = this.unresponsive ? 0 : watchMs;
		let answer: WatchAnswer;
		try {
			answer = await store.watch(keys.root, from, waitMs);
		} catch (error) {
			post(() => this.watchFailed(error));
			return;
		}
		post(() => {
			this.changesReceived(from, answer, sentAt);
			if (answer.events.length > 0) this.watchAfter(pauseAfterChangesMs);
			else this.watch();
		});
	}

	private async watchAfterLoad(): Promise<void> {
		const { post } = this.options;
		try {
			await this.reload();
		} catch (error) {
			post(() => this.watchFailed(error));
			return;
		}
		post(() => {
			this.responsiveness.callAnswered();
			this.watch();
		});
	}

	private watchFailed(error: unknown): void {
		this.callFailed(error);
		this.options.log.debug({ err: error }, "store watch failed");
		this.watchAfter(retryMs);
	}

	/** Requests the changes up to now, without waiting for any. */
	private async catchUp({ onSynced, onFailed }: CatchUpHandlers): Promise<void> {
		const { replica, store, clock, post } = this.options;
		if (!replica.loaded) {
			onFailed(new CallError("not executed", 0, "the replica is not loaded"));
			return;
		}
		const from = replica.revision;
		const sentAt = clock.now();
		let answer: WatchAnswer;
		try {
			answer = await store.watch(keys.root, from, 0);
		} catch (error) {
			post(() => {
				this.callFailed(error);
				onFailed(error);
			});
			return;
		}
		post(() => {
			this.changesReceived(from, answer, sentAt);
			onSynced();
		});
	}

	/** An answer covers everything after `from`; after a reload it must not leave a gap behind the replica. */
	private changesReceived(from: Revision, answer: WatchAnswer, sentAt: number): void {
		const { replica } = this.options;
		this.responsiveness.callAnswered();
		if (!replica.loaded || from > replica.revision) return;
		replica.apply(answer.events, answer.revision);
		this.#syncedAt = Math.max(this.#syncedAt, sentAt);
	}

	private callFailed(error: unknown): void {
		this.responsiveness.callFailed();
		// The store does not keep the changes since the replica's revision any more.
		if (error instanceof CallError && error.status === 410) this.options.replica.invalidate();
	}

	// --- loading ---

	/** Loads the replica anew; several calls at a time share one load. */
	private reload(): Promise<void> {
		this.reloading ??= this.load().finally(() => {
			this.reloading = null;
		});
		return this.reloading;
	}

	private async load(): Promise<void> {
		const { replica, store, clock, post } = this.options;
		const beganAt = clock.now();
		const parts = [];
		// One after the other, machines last: a burst of calls would use up a starting controller's share.
		for (const prefix of [keys.singletons, keys.jobs, keys.progress, keys.machines])
			parts.push(await store.readPrefix(prefix));
		const rows = parts.flatMap((part) => part.rows);
		const revision = Math.min(...parts.map((part) => part.revision));
		await new Promise<void>((resolve) =>
			post(() => {
				replica.reset(rows, revision);
				this.#syncedAt = Math.max(this.#syncedAt, beganAt);
				resolve();
			}),
		);
	}
}
