import { clockDrift } from "./holder.js";
import type { HolderReply, QuotaTerms, TeamTerms } from "./terms.js";

/** One process of another controller, as the manager has heard of it in this term. */
interface HolderProcess {
	incarnation: string;
	heardAt: number;
	lastReply: number;
	/** The last reply that was echoed to it, and when that one had arrived. */
	echo: number;
	echoArrivedAt: number;
	sent: number;
	confirmed: number;
	settledBatch: number;
	/** By team: number of the first message that carries the present terms, and the present cap. */
	readonly termsChangedAt: Map<string, number>;
	readonly capChangedAt: Map<string, number>;
}

export interface RegistryOptions {
	/** Steady time at which the term began. */
	beganAt: number;
	expiryMs: number;
	marginMs: number;
	/** A holder not heard for this long gets nothing more. */
	silentMs: number;
}

/** What a reply has brought. */
export interface Heard {
	/** Its batch is new and from the process that holds the allotments: its admissions count. */
	batchCounts: boolean;
}

const endedKept = 50;

/**
 * The processes that hold allotments. Knows which process of a node is the present one, what it has
 * confirmed, and until when it may admit anything.
 *
 * A holder's allotment is sound for `expiryMs` after the sending of a reply that was echoed to it.
 * Counted from the arrival of that reply, with drift, this side waits for longer. In a new term the
 * echoes of the leader before count from the beginning of the term at the latest, since they were
 * sent with its authority.
 */
export class HolderRegistry {
	private readonly present = new Map<string, HolderProcess>();
	/** A process that is not known to be the present one of its node. */
	private readonly candidates = new Map<string, HolderProcess>();
	private readonly ended = new Set<string>();

	constructor(private readonly options: RegistryOptions) {}

	/** A process that is known to have ended: what comes from it is late. */
	noteEnded(incarnation: string): void {
		this.ended.add(incarnation);
		if (this.ended.size > endedKept) this.ended.delete(this.ended.values().next().value as string);
	}

	incarnation(node: string): string | undefined {
		return this.present.get(node)?.incarnation;
	}

	heard(node: string, reply: HolderReply, now: number): Heard {
		if (this.ended.has(reply.incarnation)) return { batchCounts: false };
		const current = this.present.get(node);
		if (current?.incarnation === reply.incarnation) return this.note(current, reply, now);
		const candidate = this.candidateOf(node, reply.incarnation, now);
		this.note(candidate, reply, now);
		// Late words of an earlier process must not displace a later one: only a live one confirms.
		if (candidate.confirmed > 0) this.replace(node, candidate);
		return { batchCounts: false };
	}

	private replace(node: string, candidate: HolderProcess): void {
		const before = this.present.get(node);
		if (before) this.noteEnded(before.incarnation);
		this.candidates.delete(node);
		this.present.set(node, candidate);
	}

	private candidateOf(node: string, incarnation: string, now: number): HolderProcess {
		const known = this.candidates.get(node);
		if (known?.incarnation === incarnation) return known;
		const made: HolderProcess = {
			incarnation,
			heardAt: now,
			lastReply: 0,
			echo: 0,
			echoArrivedAt: Number.NEGATIVE_INFINITY,
			sent: 0,
			confirmed: 0,
			settledBatch: 0,
			termsChangedAt: new Map(),
			capChangedAt: new Map(),
		};
		this.candidates.set(node, made);
		return made;
	}

	private note(process: HolderProcess, reply: HolderReply, now: number): Heard {
		if (reply.number <= process.lastReply) return { batchCounts: false };
		process.lastReply = reply.number;
		process.heardAt = now;
		if (reply.confirmed <= process.sent) process.confirmed = Math.max(process.confirmed, reply.confirmed);
		const batchCounts = reply.batch > process.settledBatch;
		process.settledBatch = Math.max(process.settledBatch, reply.batch);
		return { batchCounts };
	}

	/** Heard lately, so that work and allotments may go to it. */
	usable(node: string, now: number): boolean {
		const process = this.present.get(node);
		return process !== undefined && now - process.heardAt <= this.options.silentMs;
	}

	/** Whether the process that has the allotment can no longer admit anything against it. */
	lost(node: string, incarnation: string, now: number): boolean {
		const process = this.present.get(node);
		if (process && process.incarnation !== incarnation) return true;
		const { beganAt, expiryMs, marginMs } = this.options;
		const from = Math.max(beganAt, process?.echoArrivedAt ?? Number.NEGATIVE_INFINITY);
		return now > from + expiryMs * (1 + 2 * clockDrift) + marginMs;
	}

	/** The node's terms for the team have changed. */
	changed(node: string, team: string, cap: boolean): void {
		const process = this.present.get(node);
		if (!process) return;
		process.termsChangedAt.set(team, process.sent + 1);
		if (cap) process.capChangedAt.set(team, process.sent + 1);
	}

	/** The node's process has confirmed the present cap. */
	knowsCap(node: string, team: string): boolean {
		const process = this.present.get(node);
		return process !== undefined && process.confirmed >= (process.capChangedAt.get(team) ?? 0);
	}

	/** The next message for the node, or null where nothing has been heard of it. */
	termsFor(node: string, withTeams: boolean, teamTerms: (team: string) => TeamTerms): QuotaTerms | null {
		const present = this.present.get(node);
		const candidate = this.candidates.get(node);
		const process = candidate && candidate.heardAt >= (present?.heardAt ?? 0) ? candidate : present;
		if (!process) return null;
		process.sent += 1;
		if (process.lastReply > process.echo) {
			process.echo = process.lastReply;
			process.echoArrivedAt = process.heardAt;
		}
		const teams = withTeams ? this.unconfirmedTeams(process).map(teamTerms) : [];
		const { incarnation, sent, echo, settledBatch } = process;
		return { incarnation, number: sent, echo, settledBatch, teams };
	}

	private unconfirmedTeams(process: HolderProcess): string[] {
		const teams: string[] = [];
		for (const [team, changedAt] of process.termsChangedAt) {
			if (changedAt > process.confirmed) teams.push(team);
			else process.termsChangedAt.delete(team);
		}
		return teams;
	}
}
