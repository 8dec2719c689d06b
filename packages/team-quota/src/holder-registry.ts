import { clockDrift } from "./holder.js";
import type { HolderReply, QuotaTerms, TeamTerms } from "./terms.js";

/** The state that the manager keeps for a process of another controller during this term. */
interface HolderProcess {
	incarnation: string;
	heardAt: number;
	lastReply: number;
	/** The last reply that was echoed to the process, and when that reply was received. */
	echo: number;
	echoArrivedAt: number;
	sent: number;
	confirmed: number;
	settledBatch: number;
	/**
	 * By team: number of the first message with the current team update, and of the first with the
	 * current cap.
	 */
	readonly termsChangedAt: Map<string, number>;
	readonly capChangedAt: Map<string, number>;
}

export interface RegistryOptions {
	/** Monotonic time at which the term began, in milliseconds. */
	beganAt: number;
	expiryMs: number;
	marginMs: number;
	/** A holder that has not replied for this long receives no more work or allotments. */
	silentMs: number;
}

/** The result of processing a holder's reply. */
export interface Heard {
	/** True if the batch is new and from the process that holds the allotments, so its admissions are valid. */
	batchCounts: boolean;
}

const endedKept = 50;

/**
 * The processes that hold allotments: which process of a node is the current one, which messages it has
 * confirmed, and until when it may admit tasks.
 *
 * A holder may use its allotment for `expiryMs` after it sent a reply that the leader has echoed to it.
 * The registry counts from the receipt of that reply and adds the clock drift, so it always waits longer
 * than the holder. Echoes of the previous leader were sent during its authority, hence before the new
 * term began: in a new term the expiry counts from the beginning of the term or later.
 */
export class HolderRegistry {
	private readonly present = new Map<string, HolderProcess>();
	/** By node: a process that has not yet proved to be the current one of its node. */
	private readonly candidates = new Map<string, HolderProcess>();
	private readonly ended = new Set<string>();

	constructor(private readonly options: RegistryOptions) {}

	/** Records that a process has ended, so that its delayed replies are ignored. */
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
		// A delayed reply of an earlier process must not replace a later process: only a live one confirms
		// messages.
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

	/** True if the node's process has replied recently enough to receive work and allotments. */
	usable(node: string, now: number): boolean {
		const process = this.present.get(node);
		return process !== undefined && now - process.heardAt <= this.options.silentMs;
	}

	/** True if the process that holds the allotment can no longer admit anything against it. */
	lost(node: string, incarnation: string, now: number): boolean {
		const process = this.present.get(node);
		if (process && process.incarnation !== incarnation) return true;
		const { beganAt, expiryMs, marginMs } = this.options;
		const from = Math.max(beganAt, process?.echoArrivedAt ?? Number.NEGATIVE_INFINITY);
		return now > from + expiryMs * (1 + 2 * clockDrift) + marginMs;
	}

	/** Schedules the team's allotment for the node's next message, since it or its cap has changed. */
	changed(node: string, team: string, cap: boolean): void {
		const process = this.present.get(node);
		if (!process) return;
		process.termsChangedAt.set(team, process.sent + 1);
		if (cap) process.capChangedAt.set(team, process.sent + 1);
	}

	/** True if the node's process has confirmed a message with the current cap. */
	knowsCap(node: string, team: string): boolean {
		const process = this.present.get(node);
		return process !== undefined && process.confirmed >= (process.capChangedAt.get(team) ?? 0);
	}

	/** Returns the next message for the node, or null if no process of it has replied. */
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
