/** Team quota in one process: a holder and, while the process leads, the allotment manager. */

import { effectiveLimits } from "./advance-record.js";
import type { QuotaLog } from "./allotment-writer.js";
import type { Amount } from "./amount.js";
import { type Admission, AllotmentHolder } from "./holder.js";
import {
	type HolderReply,
	parseAllotmentUpdate,
	parseReply,
	type RequestedAmount,
} from "./holder-messages.js";
import { AllotmentManager } from "./manager.js";
import type { LimitAndGuarantee } from "./record.js";
import { type QuotaStore, type StoredCondition, StoredValues } from "./stored-values.js";
import type { Uint64 } from "./uint64.js";

/** The operators' settings of team quota, in milliseconds. */
export interface QuotaParticipantSettings {
	/** A holder that has not replied for about this long loses its allotments. */
	expiryMs: number;
	/** Safety margin at the end of the expiry time, in addition to clock drift. */
	marginMs: number;
	/** Minimum time between two moves of one team's allotments. */
	movePauseMs: number;
}

/** Dependencies and settings of one process. */
export interface QuotaParticipantOptions {
	node: string;
	/** Identifies this process among all processes of the node. */
	incarnation: string;
	/** Every node of the cluster. */
	nodes: readonly string[];
	/** The limits in the platform's settings, by team. */
	teams: ReadonlyMap<string, LimitAndGuarantee>;
	settings: QuotaParticipantSettings;
	/** Prefix of the keys of stored quota values. */
	keyPrefix: string;
	/** Maximum size of a written value, and maximum number of changes in a transaction. */
	maxValueBytes: number;
	maxChangesPerTransaction: number;
	store: QuotaStore;
	/** Monotonic time and wall-clock time, in milliseconds. */
	now(): number;
	date(): number;
	post(command: () => void): void;
	log: QuotaLog;
}

/**
 * One controller's part in team quota: it is always a holder, and also the allotment manager while it
 * leads.
 */
export class QuotaParticipant {
	private readonly values: StoredValues;
	private readonly holder: AllotmentHolder;
	private manager: AllotmentManager | null = null;

	constructor(private readonly options: QuotaParticipantOptions) {
		const { log, incarnation, now, settings } = options;
		this.values = new StoredValues({
			...options,
			incarnationLength: incarnation.length,
			onFault: (key, team, fault) => log.error({ key, team, fault }, "a stored team limit cannot be read"),
		});
		this.holder = new AllotmentHolder({ incarnation, now, ...settings });
	}

	get node(): string {
		return this.options.node;
	}

	// --- stored values ---

	/** Applies a stored value; undefined if the key was deleted. */
	applyStoredValue(key: string, value: unknown, revision: Uint64): void {
		if (this.manager) this.manager.applyStoredValue(key, value, revision);
		else this.values.apply(key, value, revision);
	}

	/** Returns the limit and guarantee in effect by the team's record, or null if it has none. */
	effectiveLimits(team: string): LimitAndGuarantee | null {
		const record = this.values.record(team);
		return record ? effectiveLimits(record) : null;
	}

	/** Monotonic time of this process, in milliseconds. */
	now(): number {
		return this.options.now();
	}

	// --- as a holder ---

	/** Applies an update from the leader of the term. A malformed update is ignored. */
	applyAllotmentUpdate(term: Uint64, raw: unknown): void {
		const update = parseAllotmentUpdate(raw);
		if (update) this.holder.applyUpdate(term, update);
	}

	admit(team: string, size: Amount, maxCount = 1): Admission {
		return this.holder.admit(team, size, maxCount);
	}

	withdraw(team: string, size: Amount, count: number): void {
		this.holder.withdraw(team, size, count);
	}

	closeBatch(): number {
		return this.holder.closeBatch();
	}

	reply(requested?: RequestedAmount[]): HolderReply {
		return this.holder.reply(requested);
	}

	/** Monotonic time until which this holder may use its allotments. */
	get validUntil(): number {
		return this.holder.validUntil;
	}

	// --- as the leader ---

	beginTerm(leaderCondition: StoredCondition): AllotmentManager {
		const { settings, teams } = this.options;
		this.holder.becomeLeader(leaderCondition.revision);
		this.manager = new AllotmentManager({
			...this.options,
			...settings,
			settings: teams,
			values: this.values,
			leaderCondition,
			holderTimeoutMs: settings.expiryMs,
		});
		return this.manager;
	}

	endTerm(): void {
		this.manager?.end();
		this.manager = null;
	}

	/** Processes a holder's reply. Returns true if the batch of admissions that came with it is valid. */
	handleReply(node: string, raw: unknown): boolean {
		const reply = parseReply(raw);
		return reply !== null && (this.manager?.handleReply(node, reply) ?? false);
	}
}
