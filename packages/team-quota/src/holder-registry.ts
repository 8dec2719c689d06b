/** The processes that hold allotments, as one leader knows them. */

import { createHash } from "node:crypto";
import { maxClockDriftFraction } from "./holder.js";
import type { AllotmentUpdate, HolderReply, TeamAllotmentUpdate } from "./holder-messages.js";
import type { Uint64 } from "./uint64.js";

/** The state that the manager keeps for a process of another controller during this term. */
interface HolderProcess {
	incarnation: string;
	lastReplyAt: number;
	lastReplyNumber: number;
	/** The last reply that was echoed to the process, and when that reply was received. */
	echoedReplyNumber: number;
	echoedReplyReceivedAt: number;
	lastMessageNumber: number;
	/** This leader numbers its messages to this process above this, and so above all that it sent before. */
	readonly numberedAbove: number;
	confirmedMessageNumber: number;
	settledBatch: number;
	/**
	 * By team: number of the first message with the current team update, and of the first with the
	 * current cap.
	 */
	readonly teamChangedInMessage: Map<string, number>;
	readonly capChangedInMessage: Map<string, number>;
}

/** The leader that the registry belongs to, and its bounds. */
export interface HolderRegistryOptions {
	/** The leader's process. */
	incarnation: string;
	/** The term of leadership. */
	term: Uint64;
	/** Monotonic time at which the term began, in milliseconds. */
	termStartedAt: number;
	expiryMs: number;
	marginMs: number;
	/** A holder that has not replied for this long receives no more work or allotments. */
	holderTimeoutMs: number;
}

/** The result of processing a holder's reply. */
export interface ReplyResult {
	/** True if the batch is new and from the process that holds the allotments, so its admissions are valid. */
	batchAccepted: boolean;
}

const maxEndedIncarnations = 50;

/** Size of the number below the first message number of a term. Numbers stay exact for 2^52 messages. */
const firstNumberBytes = 6;

/**
 * Returns the number below those of the term's messages. It depends on the process and the term, so that a number that
 * a process confirms without its term, as in 0.8.0, is none of another leader's message.
 */
function numberBelowTerm({ incarnation, term }: HolderRegistryOptions): number {
	return createHash("sha256").update(`${incarnation}/${term}`).digest().readUIntBE(0, firstNumberBytes);
}

/**
 * The processes that hold allotments. For each node, the registry records which process is the current one,
 * which messages that process has confirmed, and until when it may admit tasks.
 *
 * A holder may use its allotment for `expiryMs` after it sent a reply that the leader has echoed to it.
 * The registry counts from the receipt of that reply and adds the clock drift, so it always waits longer
 * than the holder. The previous leader sent its echoes while it had authority, hence before the new term
 * began: a new leader therefore counts their expiry from the beginning of its term.
 */
export class HolderRegistry {
	private readonly currentProcesses = new Map<string, HolderProcess>();
	/** By node: a process that has confirmed no message yet, and may be an earlier process of its node. */
	private readonly candidates = new Map<string, HolderProcess>();
	private readonly endedIncarnations = new Set<string>();
	/** Highest number of any message of this term, so that no number is used for two messages to one process. */
	private highestMessageNumber: number;

	constructor(private readonly options: HolderRegistryOptions) {
		this.highestMessageNumber = numberBelowTerm(options);
	}

	/** Records that a process has ended, so that its delayed replies are ignored. */
	markEnded(incarnation: string): void {
		this.endedIncarnations.add(incarnation);
		if (this.endedIncarnations.size > maxEndedIncarnations)
			this.endedIncarnations.delete(this.endedIncarnations.values().next().value as string);
	}

	incarnation(node: string): string | undefined {
		return this.currentProcesses.get(node)?.incarnation;
	}

	handleReply(node: string, reply: HolderReply, now: number): ReplyResult {
		if (this.endedIncarnations.has(reply.incarnation)) return { batchAccepted: false };
		const current = this.currentProcesses.get(node);
		if (current?.incarnation === reply.incarnation) return this.recordReply(current, reply, now);
		const candidate = this.candidateOf(node, reply, now);
		this.recordReply(candidate, reply, now);
		// A delayed reply of an earlier process must not replace a later process. Only a live process confirms
		// messages of this term.
		if (candidate.confirmedMessageNumber > 0) this.makeCurrent(node, candidate);
		return { batchAccepted: false };
	}

	private makeCurrent(node: string, candidate: HolderProcess): void {
		const previous = this.currentProcesses.get(node);
		if (previous) this.markEnded(previous.incarnation);
		this.candidates.delete(node);
		this.currentProcesses.set(node, candidate);
	}

	private candidateOf(node: string, { incarnation }: HolderReply, now: number): HolderProcess {
		const existing = this.candidates.get(node);
		if (existing?.incarnation === incarnation) return existing;
		const numberedAbove = this.highestMessageNumber;
		const created: HolderProcess = {
			incarnation,
			lastReplyAt: now,
			lastReplyNumber: 0,
			echoedReplyNumber: 0,
			echoedReplyReceivedAt: Number.NEGATIVE_INFINITY,
			lastMessageNumber: numberedAbove,
			numberedAbove,
			confirmedMessageNumber: 0,
			settledBatch: 0,
			teamChangedInMessage: new Map(),
			capChangedInMessage: new Map(),
		};
		this.candidates.set(node, created);
		return created;
	}

	private recordReply(process: HolderProcess, reply: HolderReply, now: number): ReplyResult {
		if (reply.number <= process.lastReplyNumber) return { batchAccepted: false };
		process.lastReplyNumber = reply.number;
		process.lastReplyAt = now;
		const belongsToTerm = reply.term === undefined || reply.term === this.options.term;
		if (belongsToTerm && this.confirmsMessageOf(process, reply.confirmed))
			process.confirmedMessageNumber = Math.max(process.confirmedMessageNumber, reply.confirmed);
		const batchAccepted = belongsToTerm && reply.batch > process.settledBatch;
		process.settledBatch = Math.max(process.settledBatch, reply.batch);
		return { batchAccepted };
	}

	private confirmsMessageOf({ numberedAbove, lastMessageNumber }: HolderProcess, confirmed: number): boolean {
		return confirmed > numberedAbove && confirmed <= lastMessageNumber;
	}

	/** True if the node's process has replied recently enough to receive work and allotments. */
	isResponsive(node: string, now: number): boolean {
		const process = this.currentProcesses.get(node);
		return process !== undefined && now - process.lastReplyAt <= this.options.holderTimeoutMs;
	}

	/** True if the process that holds the allotment can no longer admit anything against it. */
	isRevocable(node: string, incarnation: string, now: number): boolean {
		const process = this.currentProcesses.get(node);
		if (process && process.incarnation !== incarnation) return true;
		const echoedReplyReceivedAt = process?.echoedReplyReceivedAt ?? Number.NEGATIVE_INFINITY;
		return this.earlierTermsExpired(now) && this.hasExpired(echoedReplyReceivedAt, now);
	}

	/** True if every allotment that leaders of earlier terms kept valid has expired. */
	earlierTermsExpired(now: number): boolean {
		return this.hasExpired(this.options.termStartedAt, now);
	}

	private hasExpired(countsFrom: number, now: number): boolean {
		const { expiryMs, marginMs } = this.options;
		return now > countsFrom + expiryMs * (1 + 2 * maxClockDriftFraction) + marginMs;
	}

	/** Adds the team to the node's next messages until one is confirmed, since its allotment or charge changed. */
	markTeamChanged(node: string, team: string, capChanged: boolean): void {
		const process = this.currentProcesses.get(node);
		if (!process) return;
		process.teamChangedInMessage.set(team, process.lastMessageNumber + 1);
		if (capChanged) process.capChangedInMessage.set(team, process.lastMessageNumber + 1);
	}

	/** True if the node's process has confirmed a message with the current cap. */
	hasConfirmedCap(node: string, team: string): boolean {
		const process = this.currentProcesses.get(node);
		return (
			process !== undefined && process.confirmedMessageNumber >= (process.capChangedInMessage.get(team) ?? 0)
		);
	}

	/** Returns the next message for the node, or null if no process of it has replied. */
	nextUpdate(
		node: string,
		withTeams: boolean,
		teamUpdate: (team: string) => TeamAllotmentUpdate,
	): AllotmentUpdate | null {
		const current = this.currentProcesses.get(node);
		const candidate = this.candidates.get(node);
		const process = candidate && candidate.lastReplyAt >= (current?.lastReplyAt ?? 0) ? candidate : current;
		if (!process) return null;
		process.lastMessageNumber += 1;
		this.highestMessageNumber = Math.max(this.highestMessageNumber, process.lastMessageNumber);
		if (process.lastReplyNumber > process.echoedReplyNumber) {
			process.echoedReplyNumber = process.lastReplyNumber;
			process.echoedReplyReceivedAt = process.lastReplyAt;
		}
		const teams = withTeams ? this.unconfirmedTeams(process).map(teamUpdate) : [];
		const { incarnation, lastMessageNumber, echoedReplyNumber, settledBatch } = process;
		return { incarnation, number: lastMessageNumber, echo: echoedReplyNumber, settledBatch, teams };
	}

	private unconfirmedTeams(process: HolderProcess): string[] {
		const teams: string[] = [];
		for (const [team, changedAt] of process.teamChangedInMessage) {
			if (changedAt > process.confirmedMessageNumber) teams.push(team);
			else process.teamChangedInMessage.delete(team);
		}
		return teams;
	}
}
