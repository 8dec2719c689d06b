import type { QuotaLog } from "./allotment-writer.js";
import type { Amount } from "./amount.js";
import { type Admission, AllotmentHolder } from "./holder.js";
import { AllotmentManager } from "./manager.js";
import type { LimitTerms } from "./record.js";
import { usableTerms } from "./record-step.js";
import { type QuotaStore, type StoredCondition, StoredValues } from "./stored-values.js";
import { type HolderReply, parseReply, parseTerms, type Wanted } from "./terms.js";

export interface TeamQuotaSettings {
	/** A holder that has not replied for about this long loses its allotments. */
	expiryMs: number;
	/** Safety margin at the end of the expiry time, in addition to clock drift. */
	marginMs: number;
	/** Minimum time between two moves of one team's allotments. */
	movePauseMs: number;
}

export interface TeamQuotaOptions {
	node: string;
	/** Identifies this process among all processes of the node. */
	incarnation: string;
	/** Every node of the cluster. */
	nodes: readonly string[];
	/** The limits in the platform's settings, by team. */
	teams: ReadonlyMap<string, LimitTerms>;
	settings: TeamQuotaSettings;
	/** Prefix of the keys of stored quota values. */
	prefix: string;
	/** Maximum size of a written value, and maximum number of changes in a transaction. */
	mostBytes: number;
	mostChanges: number;
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
export class TeamQuota {
	private readonly values: StoredValues;
	private readonly holder: AllotmentHolder;
	private managing: AllotmentManager | null = null;

	constructor(private readonly options: TeamQuotaOptions) {
		const { log, incarnation, now, settings } = options;
		this.values = new StoredValues({
			...options,
			incarnationLength: incarnation.length,
			fault: (key, team, fault) => log.error({ key, team, fault }, "a stored team limit cannot be read"),
		});
		this.holder = new AllotmentHolder({ incarnation, now, ...settings });
	}

	get node(): string {
		return this.options.node;
	}

	// --- stored values ---

	/** Applies a stored value; undefined if the key was deleted. */
	stored(key: string, value: unknown, revision: number): void {
		if (this.managing) this.managing.stored(key, value, revision);
		else this.values.learn(key, value, revision);
	}

	/** Returns the limit and guarantee in effect by the team's record, or null if it has none. */
	terms(team: string): LimitTerms | null {
		const record = this.values.record(team);
		return record ? usableTerms(record) : null;
	}

	/** Monotonic time of this process, in milliseconds. */
	clock(): number {
		return this.options.now();
	}

	// --- as a holder ---

	/** Applies an update from the leader of the term. A malformed update is ignored. */
	takeTerms(term: number, raw: unknown): void {
		const terms = parseTerms(raw);
		if (terms) this.holder.takeTerms(term, terms);
	}

	admit(team: string, size: Amount, most = 1): Admission {
		return this.holder.admit(team, size, most);
	}

	withdraw(team: string, size: Amount, count: number): void {
		this.holder.withdraw(team, size, count);
	}

	closeBatch(): number {
		return this.holder.closeBatch();
	}

	reply(wanted?: Wanted[]): HolderReply {
		return this.holder.reply(wanted);
	}

	/** Monotonic time until which this holder may use its allotments. */
	get validUntil(): number {
		return this.holder.validUntil;
	}

	// --- as the leader ---

	beginTerm(leaderCondition: StoredCondition): AllotmentManager {
		const { settings, teams } = this.options;
		this.holder.leads(leaderCondition.revision);
		this.managing = new AllotmentManager({
			...this.options,
			...settings,
			settings: teams,
			values: this.values,
			leaderCondition,
			silentMs: settings.expiryMs,
		});
		return this.managing;
	}

	endTerm(): void {
		this.managing?.end();
		this.managing = null;
	}

	/** Processes a holder's reply. Returns true if the batch of admissions that came with it is valid. */
	heard(node: string, raw: unknown): boolean {
		const reply = parseReply(raw);
		return reply !== null && (this.managing?.heard(node, reply) ?? false);
	}
}
