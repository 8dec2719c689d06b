import type { StoreReplica } from "../../bookkeeping/store-replica.js";
import { keys } from "../../protocol/records/keys.js";
import { CallError } from "../ports/call-error.js";
import type { Clock } from "../ports/clock.js";
import type { Log } from "../ports/log.js";
import type { KeyValueStore } from "../ports/store.js";

const watchMs = 2500;
const watchPauseMs = 100;
const compareEveryMs = 60_000;
const compareAgainMs = 5_000;
const silentMs = watchMs + 1500;
const gatherMs = 15;

interface Waiter {
	resolve(): void;
	reject(error: unknown): void;
}

/**
 * Keeps the local copy up with the store by a long watch. Where an answer must
 * not be older than any given before, `fence` asks the store anew: a watch that
 * does not wait returns every change up to its own revision. One such request serves
 * all who wait at that moment. Silence of the long watch is never taken for
 * "nothing changed".
 */
export class ReplicaSync {
	private waiters: Waiter[] = [];
	private fencing = false;
	private stopped = false;
	private reloading: Promise<void> | null = null;
	/** Steady time at which the store last answered. */
	lastResponseAt = -Infinity;
	/**
	 * Steady time up to which every change of the store is in the copy: the sending of the
	 * latest request whose answer covers it. The answer itself may be held up on its way, or
	 * come while the process stands still.
	 */
	syncedAt = -Infinity;
	private failedAt = -Infinity;
	/** The process stood still until then: no silence counts from before. */
	private awakeSince = -Infinity;
	private doubtful = new Set<string>();

	constructor(
		private readonly storeCopy: StoreReplica,
		private readonly store: KeyValueStore,
		private readonly time: Clock,
		private readonly post: (command: () => void) => void,
		private readonly log: Log,
	) {}

	start(): void {
		this.watchOn();
		this.compareLater(compareEveryMs);
	}

	stop(): void {
		this.stopped = true;
	}

	private watchOn(): void {
		if (this.stopped) return;
		const from = this.storeCopy.revision;
		const sentAt = this.time.now();
		const step = this.storeCopy.loaded
			? // In silence, short calls find out soon that it has ended.
				this.store.watch(keys.root, from, this.unresponsive ? 0 : watchMs)
			: this.reload().then(() => null);
		step.then(
			(answer) =>
				this.post(() => {
					this.lastResponseAt = this.time.now();
					if (answer) this.take(from, answer, sentAt);
					// Each answer costs a request and a turn: changes of a moment come together.
					if (answer && answer.events.length > 0) this.time.after(watchPauseMs, () => this.watchOn());
					else this.watchOn();
				}),
			(error) =>
				this.post(() => {
					this.failedAt = this.time.now();
					this.log.debug({ err: String(error) }, "store watch failed");
					if (error instanceof CallError && error.status === 410) this.storeCopy.loaded = false;
					this.time.after(200, () => this.watchOn());
				}),
		);
	}

	/** An answer covers everything after `from`; it must not leave a gap behind a reload. */
	private take(from: number, answer: Awaited<ReturnType<KeyValueStore["watch"]>>, sentAt: number): void {
		if (!this.storeCopy.loaded || from > this.storeCopy.revision) return;
		this.storeCopy.apply(answer.events, answer.revision);
		this.syncedAt = Math.max(this.syncedAt, sentAt);
	}

	private reload(): Promise<void> {
		this.reloading ??= this.load().finally(() => {
			this.reloading = null;
		});
		return this.reloading;
	}

	private async load(): Promise<void> {
		const parts = [];
		const beganAt = this.time.now();
		// One after the other, machines last: a burst of calls would use up a starting node's share.
		for (const prefix of [keys.singletons, keys.jobs, keys.progress, keys.machines])
			parts.push(await this.store.readPrefix(prefix));
		const rows = parts.flatMap((p) => p.rows);
		const revision = Math.min(...parts.map((p) => p.revision));
		await new Promise<void>((resolve) =>
			this.post(() => {
				this.storeCopy.reset(rows, revision);
				this.syncedAt = Math.max(this.syncedAt, beganAt);
				resolve();
			}),
		);
	}

	/** Nothing has been heard of the store for longer than a watch lasts, and calls fail. */
	get unresponsive(): boolean {
		const lastSignAt = Math.max(this.lastResponseAt, this.awakeSince);
		return this.time.now() - lastSignAt > silentMs && this.failedAt > this.lastResponseAt;
	}

	/** The process stood still: calls that now fail were given up by this side, not by the store. */
	onProcessPause(): void {
		this.awakeSince = this.time.now();
	}

	/** Throws if a call to the store would only keep its user waiting. */
	assertResponsive(): void {
		if (this.unresponsive) throw new CallError("not executed", 0, "the state service is silent");
	}

	private compareLater(ms: number): void {
		this.time.after(ms, () => {
			if (this.stopped) return;
			this.compare().then(
				(doubtful) => this.compareLater(doubtful ? compareAgainMs : compareEveryMs),
				() => this.compareLater(compareEveryMs),
			);
		});
	}

	/**
	 * Reads the live jobs anew and compares. A job that the copy lacks, or has too many, twice
	 * in a row was missed somewhere, and the copy is made anew; once, it may just have changed.
	 */
	private async compare(): Promise<boolean> {
		if (!this.storeCopy.loaded) return false;
		const { rows } = await this.store.readPrefix(keys.jobs);
		await this.readBarrier();
		return new Promise((resolve) =>
			this.post(() => {
				const there = new Set(rows.map((row) => row.key.slice(keys.jobs.length)));
				const differing = new Set<string>();
				for (const id of there) if (!this.storeCopy.knows(id)) differing.add(id);
				for (const id of this.storeCopy.jobs.keys()) if (!there.has(id)) differing.add(id);
				const missed = [...differing].filter((id) => this.doubtful.has(id));
				this.doubtful = differing;
				if (missed.length > 0) {
					this.log.error({ jobs: missed }, "replica differs from the store: reloading");
					this.reload().catch(() => {});
				}
				resolve(differing.size > 0);
			}),
		);
	}

	/** Resolves once the copy holds all that was in the store when this was called. */
	readBarrier(): Promise<void> {
		return new Promise((resolve, reject) => {
			this.assertResponsive();
			this.waiters.push({ resolve, reject });
			if (this.fencing) return;
			this.fencing = true;
			this.time.after(gatherMs, () => this.post(() => this.runFence()));
		});
	}

	private runFence(): void {
		const served = this.waiters;
		this.waiters = [];
		const done = (settle: (w: Waiter) => void) => {
			for (const w of served) settle(w);
			if (this.waiters.length > 0) this.time.after(gatherMs, () => this.post(() => this.runFence()));
			else this.fencing = false;
		};
		if (!this.storeCopy.loaded) {
			done((w) => w.reject(new CallError("not executed", 0, "the local copy is not loaded")));
			return;
		}
		const from = this.storeCopy.revision;
		const sentAt = this.time.now();
		this.store.watch(keys.root, from, 0).then(
			(answer) =>
				this.post(() => {
					this.lastResponseAt = this.time.now();
					this.take(from, answer, sentAt);
					done((w) => w.resolve());
				}),
			(error) =>
				this.post(() => {
					this.failedAt = this.time.now();
					if (error instanceof CallError && error.status === 410) this.storeCopy.loaded = false;
					done((w) => w.reject(error));
				}),
		);
	}
}
