import type { QuotaLog } from "./allotment-writer.js";
import type { Amount } from "./amount.js";
import { type Admission, AllotmentHolder } from "./holder.js";
import { AllotmentManager } from "./manager.js";
import type { LimitTerms } from "./record.js";
import { usableTerms } from "./record-step.js";
import { type QuotaStore, type StoredCondition, StoredValues } from "./stored-values.js";
import { type HolderReply, parseReply, parseTerms, type Wanted } from "./terms.js";

export interface TeamQuotaSettings {
	/** A holder that has not been heard for about this long loses its allotments. */
	expiryMs: number;
	/** Kept free at the end of that, on top of clock drift. */
	marginMs: number;
	/** Least time between moves of one team's allotment. */
	movePauseMs: number;
}

export interface TeamQuotaOptions {
	node: string;
	/** This process. */
	incarnation: string;
	/** Every node of the cluster. */
	nodes: readonly string[];
	/** The platform's settings, by team. */
	teams: ReadonlyMap<string, LimitTerms>;
	settings: TeamQuotaSettings;
	/** Begins the keys of the stored records. */
	prefix: string;
	/** Largest value that is written, and most changes of a transaction. */
	mostBytes: number;
	mostChanges: number;
	store: QuotaStore;
	/** Steady time and the time of day, in milliseconds. */
	now(): number;
	date(): number;
	post(command: () => void): void;
	log: QuotaLog;
}

/** One process's part in the shared limits: always a holder, and the manager while it leads. */
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

	// --- what is stored ---

	/** News of a stored value; undefined: it is gone. */
	stored(key: string, value: unknown, revision: number): void {
		if (this.managing) this.managing.stored(key, value, revision);
		else this.values.learn(key, value, revision);
	}

	/** What the team may use for now, where records say something other than the platform's settings. */
	terms(team: string): LimitTerms | null {
		const record = this.values.record(team);
		return record ? usableTerms(record) : null;
	}

	/** This process's steady time. */
	clock(): number {
		return this.options.now();
	}

	// --- as a holder ---

	/** From the leader of the term. What is not of the form is as if it had not come. */
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

	/** Steady time until which admissions of this holder stand. */
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

	/** A holder's reply; true: the batch that came with it counts. */
	heard(node: string, raw: unknown): boolean {
		const reply = parseReply(raw);
		return reply !== null && (this.managing?.heard(node, reply) ?? false);
	}
}
