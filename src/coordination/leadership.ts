import { keys, type LeaderRecord } from "../bookkeeping/records.js";
import type { Versioned } from "../bookkeeping/replica.js";
import { CallFailed, type Log, type StorePort, type TimePort } from "./ports.js";

export interface LeadershipSettings {
	ttlMs: number;
	marginMs: number;
}

/** Two steady clocks drift apart by at most this part. */
export const drift = 0.001;

/**
 * Holds the leader's key, which is attached to a lease. The revision of the put
 * that won it is the epoch and the fencing token.
 *
 * Authority lasts until the lease's time after the *sending* of its last
 * successful renewal, less drift and margin: the store counts from a later
 * moment, so it cannot have given the key to anyone else by then. It is tested
 * at every use, since this process may run late.
 */
export class Leadership {
	private lease: number | null = null;
	private held: number | null = null;
	private validUntil = -Infinity;
	private renewing = false;
	private campaigning = false;
	private nextRenewal = 0;
	private nextCampaign = 0;

	constructor(
		private readonly node: string,
		readonly incarnation: string,
		private readonly settings: LeadershipSettings,
		private readonly store: StorePort,
		private readonly time: TimePort,
		private readonly post: (command: () => void) => void,
		private readonly hooks: {
			won(epoch: number): void;
			lost(epoch: number, why: string): void;
		},
		private readonly log: Log,
		private readonly jitter: () => number,
	) {}

	/** The epoch while this process may act for the controllers, else null. */
	authority(): number | null {
		return this.held !== null && this.time.now() < this.validUntil ? this.held : null;
	}

	/** The epoch whose lease has not been seen to end, with or without present authority. */
	get epoch(): number | null {
		return this.held;
	}

	private validFrom(sentAt: number): number {
		return sentAt + this.settings.ttlMs * (1 - drift) - this.settings.marginMs;
	}

	/** Called often, in the queue. */
	tick(current: Versioned<LeaderRecord> | null, known: boolean): void {
		const now = this.time.now();
		if (this.held !== null) {
			if (!this.renewing && now >= this.nextRenewal) this.renew();
			return;
		}
		if (!known || this.campaigning || now < this.nextCampaign) return;
		// A key with this node's name is of an earlier process of it, which is dead: one process per node.
		if (current === null || current.value.node === this.node) this.campaign(current?.revision ?? 0);
	}

	resign(why: string): void {
		const epoch = this.held;
		if (epoch === null) return;
		const lease = this.lease;
		this.held = null;
		this.lease = null;
		this.validUntil = -Infinity;
		this.nextCampaign = this.time.now() + this.settings.ttlMs / 4 + this.jitter() * 200;
		if (lease !== null) this.store.endLease(lease).catch(() => {});
		this.hooks.lost(epoch, why);
	}

	private renew(): void {
		const lease = this.lease;
		if (lease === null) return;
		this.renewing = true;
		const sentAt = this.time.now();
		this.nextRenewal = sentAt + this.settings.ttlMs / 5;
		this.store.renewLease(lease).then(
			() =>
				this.post(() => {
					this.renewing = false;
					if (this.lease === lease) this.validUntil = Math.max(this.validUntil, this.validFrom(sentAt));
				}),
			(error) =>
				this.post(() => {
					this.renewing = false;
					this.nextRenewal = this.time.now() + Math.min(150, this.settings.ttlMs / 10) * (1 + this.jitter());
					if (this.lease !== lease) return;
					if (error instanceof CallFailed && error.status === 404) this.resign("lease ended");
					else this.log.debug({ err: String(error) }, "renewal failed");
				}),
		);
	}

	private campaign(expected: number): void {
		this.campaigning = true;
		const sentAt = this.time.now();
		this.take(expected, sentAt).then(
			(won) =>
				this.post(() => {
					this.campaigning = false;
					if (won === null) {
						this.nextCampaign = this.time.now() + 100 + this.jitter() * 100;
						return;
					}
					this.held = won.epoch;
					this.lease = won.lease;
					this.validUntil = this.validFrom(sentAt);
					this.nextRenewal = this.time.now();
					this.hooks.won(won.epoch);
				}),
			(error) =>
				this.post(() => {
					this.campaigning = false;
					this.nextCampaign = this.time.now() + 150 + this.jitter() * 200;
					this.log.debug({ err: String(error) }, "campaign failed");
				}),
		);
	}

	private async take(expected: number, sentAt: number): Promise<{ epoch: number; lease: number } | null> {
		const lease = await this.store.grantLease(this.settings.ttlMs);
		const value: LeaderRecord = { node: this.node, incarnation: `${this.incarnation}.${sentAt.toFixed(3)}` };
		try {
			const result = await this.store.transact(
				[{ key: keys.leader, revision: expected }],
				[{ put: keys.leader, value, lease }],
				"first",
			);
			if (result.ok) return { epoch: result.epoch, lease };
		} catch (error) {
			// No answer says nothing about the put: read the key back, never assume.
			if (!(error instanceof CallFailed) || error.kind !== "unknown") {
				this.store.endLease(lease).catch(() => {});
				throw error;
			}
			const { row } = await this.store.read(keys.leader);
			const record = row?.value as LeaderRecord | undefined;
			if (row && record?.incarnation === value.incarnation) return { epoch: row.revision, lease };
		}
		// Ending the lease makes sure that a late copy of the put finds no lease to attach to.
		this.store.endLease(lease).catch(() => {});
		return null;
	}
}
