/** The leader's allotment manager for one term. */

import { advanceRecord, excessOverPendingLimit, type HolderState, initialRecord } from "./advance-record.js";
import { AllotmentWriter, type AllotmentWriterOptions } from "./allotment-writer.js";
import {
	type Amount,
	addAmounts,
	fitsWithin,
	inUnits,
	isZeroAmount,
	subtractAmounts,
	zeroAmount,
} from "./amount.js";
import { findDifferences, PersistentDifferences, type QuotaDifference } from "./charge-verification.js";
import { type Charge, ChargeLedger } from "./charges.js";
import { DemandTable } from "./demand.js";
import type { AllotmentUpdate, HolderReply, TeamAllotmentUpdate } from "./holder-messages.js";
import { HolderRegistry } from "./holder-registry.js";
import { type Allotment, allotmentOf, capOf, type LimitAndGuarantee, type QuotaRecord } from "./record.js";
import { RevocationsInProgress } from "./revocations.js";
import type { Uint64 } from "./uint64.js";

/** Dependencies of the manager of one term. */
export interface AllotmentManagerOptions
	extends Omit<AllotmentWriterOptions, "onRecordsChanged" | "onAllotmentResized"> {
	/** The leader's node, which holds allotments like any other node, and the incarnation of this process. */
	node: string;
	incarnation: string;
	/** Every node of the cluster. */
	nodes: readonly string[];
	/** The limits in the platform's settings, by team. */
	settings: ReadonlyMap<string, LimitAndGuarantee>;
	/** Wall-clock time in milliseconds. */
	date(): number;
	expiryMs: number;
	marginMs: number;
	holderTimeoutMs: number;
	/** Minimum time between two moves of one team's allotments. */
	movePauseMs: number;
}

const checkIntervalMs = 100;

/**
 * The leader's side: divides each team's limit among the controllers by compare-and-swap in the state
 * service, and records against whose allotment each task counts. A controller may use an allotment only
 * after the store has confirmed that no other controller holds that part of the limit.
 */
export class AllotmentManager {
	readonly charges: ChargeLedger;
	private readonly registry: HolderRegistry;
	private readonly writer: AllotmentWriter;
	/** True once all tasks of earlier leaders are charged. */
	private started = false;
	private nextCheckAt = Number.NEGATIVE_INFINITY;
	/** Teams whose records may need a change. */
	private readonly teamsToCheck = new Set<string>();
	private readonly revocations = new RevocationsInProgress();
	/** The responsive nodes at the last check, joined with commas. */
	private lastResponsiveNodes = "";
	private readonly persistentDifferences = new PersistentDifferences();
	private readonly demand = new DemandTable();
	private readonly lastMovedAt = new Map<string, number>();

	constructor(private readonly options: AllotmentManagerOptions) {
		this.registry = new HolderRegistry({
			...options,
			term: options.leaderCondition.revision,
			termStartedAt: options.now(),
		});
		this.writer = new AllotmentWriter({
			...options,
			onRecordsChanged: (teams) => this.handleChangedRecords(teams),
			onAllotmentResized: (team) => this.lastMovedAt.set(team, options.now()),
		});
		this.charges = new ChargeLedger((team, node) => this.handleChangedCharges(team, node));
	}

	end(): void {
		this.writer.stop();
	}

	/** Starts enforcing allotments. Called once all tasks that earlier leaders started are charged. */
	start(): void {
		if (this.started) return;
		this.started = true;
		for (const team of this.options.settings.keys()) this.markTeamChanged(team);
		this.checkAllTeams();
	}

	/**
	 * Schedules a check of the team if the node is charged more than its allotment, so that the allotment
	 * grows.
	 */
	private handleChangedCharges(team: string, node: string): void {
		this.registry.markTeamChanged(node, team, false);
		const held = this.allotmentAt(node, team)?.amount ?? zeroAmount;
		if (!fitsWithin(this.charges.chargedTo(team, node), held)) this.teamsToCheck.add(team);
	}

	private checkAllTeams(): void {
		for (const team of this.options.settings.keys()) this.teamsToCheck.add(team);
	}

	// --- holders ---

	/** Processes a holder's reply. Returns true if the batch of admissions that came with it is valid. */
	handleReply(node: string, reply: HolderReply): boolean {
		const previous = this.registry.incarnation(node);
		const { batchAccepted } = this.registry.handleReply(node, reply, this.options.now());
		const current = this.registry.incarnation(node);
		if (current !== undefined && current !== previous) this.handleChangedProcess(node, current);
		for (const { team, amount } of reply.wanted ?? []) this.setRequestedAmount(node, team, amount);
		return batchAccepted && this.started;
	}

	/** Handles a new current process of the node: any other process that holds its allotments has ended. */
	private handleChangedProcess(node: string, current: string): void {
		for (const team of this.options.settings.keys()) {
			this.registry.markTeamChanged(node, team, true);
			const held = this.allotmentAt(node, team);
			if (held && held.incarnation !== current) this.registry.markEnded(held.incarnation);
		}
		this.checkAllTeams();
	}

	/** Returns the next message for the node's holder, or null if no process of the node has replied. */
	nextUpdate(node: string): AllotmentUpdate | null {
		// Before the start the messages carry no allotments: they only identify the leader and the holders'
		// processes.
		return this.registry.nextUpdate(node, this.started, (team) => this.teamUpdate(node, team));
	}

	private teamUpdate(node: string, team: string): TeamAllotmentUpdate {
		const record = this.recordOf(team);
		const charged = this.charges.chargedTo(team, node);
		const limit = (record?.inForce ?? this.options.settings.get(team))?.limit ?? zeroAmount;
		const free = subtractAmounts(limit, this.charges.teamTotal(team));
		return { team, cap: addAmounts(charged, this.availableAt(node, team)), charged, free };
	}

	private markTeamChanged(team: string): void {
		for (const node of this.options.nodes) this.registry.markTeamChanged(node, team, true);
	}

	// --- demand, and which nodes may admit it ---

	/** Sets the amount that the node would use for the team without a limit, including its running tasks. */
	setRequestedAmount(node: string, team: string, amount: Amount): void {
		if (this.demand.setRequestedAmount(node, team, amount)) this.teamsToCheck.add(team);
	}

	/** Sets the controller that receives the part of the limit that no controller requests. */
	setPreferredHolder(node: string, team: string): void {
		if (this.demand.setPreferredHolder(node, team)) this.teamsToCheck.add(team);
	}

	/** True if the node is responsive and its allotment has capacity for a task of this size. */
	canAdmit(node: string, team: string, size: Amount): boolean {
		const { options } = this;
		if (node !== options.node && !this.registry.isResponsive(node, options.now())) return false;
		return fitsWithin(size, this.availableAt(node, team));
	}

	/**
	 * Returns the amount that the node's holder may still admit. A new leader has no record of who admitted
	 * the tasks that it finds running, so their charges may be wrong in two ways, and every holder leaves an
	 * amount unused that covers both. First, a holder may be charged more than its allotment until the
	 * allotment has grown. Second, charges to a holder that has not confirmed a message of this term may
	 * belong to another holder, while the first still uses its allotment of the previous term, possibly all
	 * of it.
	 */
	private availableAt(node: string, team: string): Amount {
		const allotment = this.allotmentAt(node, team);
		if (!allotment || allotment.incarnation !== this.incarnationOf(node)) return zeroAmount;
		if (this.revocations.isBeingRevoked(team, node)) return zeroAmount;
		const available = subtractAmounts(capOf(allotment), this.charges.chargedTo(team, node));
		return subtractAmounts(available, this.uncertainCharges(team));
	}

	private uncertainCharges(team: string): Amount {
		let uncertain = zeroAmount;
		for (const node of this.options.nodes) {
			const hasProcess = this.incarnationOf(node) !== undefined;
			const certain = hasProcess ? (this.allotmentAt(node, team)?.amount ?? zeroAmount) : zeroAmount;
			uncertain = addAmounts(uncertain, subtractAmounts(this.charges.chargedTo(team, node), certain));
		}
		return uncertain;
	}

	private allotmentAt(node: string, team: string): Allotment | undefined {
		const record = this.recordOf(team);
		return record && allotmentOf(record, node);
	}

	private incarnationOf(node: string): string | undefined {
		return node === this.options.node ? this.options.incarnation : this.registry.incarnation(node);
	}

	// --- admissions ---

	/** True if a task that the node's holder has admitted, or that this process admits now, may start. */
	mayStart(node: string, team: string, size: Amount): boolean {
		if (!this.started) return false;
		if (node === this.options.node) return this.canAdmit(node, team, size);
		const allotment = this.allotmentAt(node, team);
		if (!allotment || allotment.incarnation !== this.registry.incarnation(node)) return false;
		if (this.revocations.isBeingRevoked(team, node)) return false;
		return fitsWithin(addAmounts(this.charges.chargedTo(team, node), size), allotment.amount);
	}

	/** Charges a task that was found running to the node whose allotment has the most unused capacity. */
	chargeUnattributed(team: string, size: Amount): Charge {
		return this.charges.add(team, this.nodeWithMostAvailable(team, size), size);
	}

	private nodeWithMostAvailable(team: string, size: Amount): string {
		const record = this.recordOf(team);
		let bestNode = this.options.node;
		let mostAvailable = -1;
		for (const { node, amount } of record?.allotments ?? []) {
			const available = subtractAmounts(amount, this.charges.chargedTo(team, node));
			const availableThousandths = size.cpus > 0 ? available.cpus : available.gpus;
			if (availableThousandths > mostAvailable) [bestNode, mostAvailable] = [node, availableThousandths];
		}
		return bestNode;
	}

	// --- limits ---

	private recordOf(team: string): QuotaRecord | undefined {
		return this.options.values.record(team);
	}

	/** Returns the amount that the team uses above a lower limit that is pending. */
	excessOverPendingLimit(team: string): Amount {
		const record = this.recordOf(team);
		return record ? excessOverPendingLimit(record, this.charges.teamTotal(team)) : zeroAmount;
	}

	/**
	 * Compares records and charges with an independent count of the running tasks, and logs persistent
	 * differences.
	 */
	verifyCharges(running: ReadonlyMap<string, { amount: Amount; tolerance: Amount }>): void {
		if (!this.started) return;
		const differences = [...running].flatMap(([team, { amount, tolerance }]) => {
			const record = this.recordOf(team);
			if (!record) return [];
			return findDifferences({
				record,
				nodes: this.options.nodes,
				charged: (node) => this.charges.chargedTo(team, node),
				teamTotal: this.charges.teamTotal(team),
				running: amount,
				tolerance,
			});
		});
		for (const difference of this.persistentDifferences.takePersistent(differences))
			this.logDifference(difference);
	}

	private logDifference({ message, expected, found, ...fields }: QuotaDifference): void {
		const amounts = {
			...(expected && { expected: inUnits(expected) }),
			...(found && { found: inUnits(found) }),
		};
		this.options.log.error({ ...fields, ...amounts }, message);
	}

	/** Applies a stored value; undefined if the key was deleted. */
	applyStoredValue(key: string, value: unknown, revision: Uint64): void {
		this.writer.applyStoredValue(key, value, revision);
	}

	private handleChangedRecords(teams: readonly string[]): void {
		for (const team of teams) {
			this.revocations.end(team);
			this.markTeamChanged(team);
			if (this.options.settings.has(team)) this.teamsToCheck.add(team);
		}
	}

	// --- time ---

	/**
	 * Checks teams and writes changed records. Called periodically while this process is the authorized
	 * leader.
	 */
	tick(): void {
		const now = this.options.now();
		if (!this.started || !this.writer.canWrite || now < this.nextCheckAt || this.mustWaitForUnreadable(now))
			return;
		this.nextCheckAt = now + checkIntervalMs;
		this.checkResponsiveNodes(now);
		const changedRecords: QuotaRecord[] = [];
		for (const team of [...this.teamsToCheck]) {
			const record = this.nextRecord(team, this.options.settings.get(team) as LimitAndGuarantee, now);
			if (record !== this.recordOf(team)) changedRecords.push(record);
			else if (this.isStable(team, record, now)) this.teamsToCheck.delete(team);
		}
		this.writer.write(changedRecords);
	}

	private checkResponsiveNodes(now: number): void {
		const responsiveNodes = this.options.nodes.filter((node) => this.registry.isResponsive(node, now)).join();
		if (responsiveNodes !== this.lastResponsiveNodes) this.checkAllTeams();
		this.lastResponsiveNodes = responsiveNodes;
	}

	/** True if the team's record needs no change until a new event: time alone changes nothing. */
	private isStable(team: string, record: QuotaRecord, now: number): boolean {
		if (record.pending || this.isMovePaused(team, now)) return false;
		return record.allotments.every(
			({ node, reclaiming }) =>
				isZeroAmount(reclaiming) && (node === this.options.node || this.registry.isResponsive(node, now)),
		);
	}

	private isMovePaused(team: string, now: number): boolean {
		return now - (this.lastMovedAt.get(team) ?? Number.NEGATIVE_INFINITY) < this.options.movePauseMs;
	}

	/**
	 * True while an unreadable record may contain an allotment that a holder still uses: all allotments of
	 * earlier leaders have expired `expiryMs`, with drift and margin, after the beginning of the term.
	 */
	private mustWaitForUnreadable(now: number): boolean {
		return this.options.values.hasUnreadableRecords && !this.registry.earlierTermsExpired(now);
	}

	private nextRecord(team: string, settings: LimitAndGuarantee, now: number): QuotaRecord {
		const record = this.recordOf(team) ?? initialRecord(team, settings);
		const revocable = this.revocableHolders(team, record, now);
		const holders = this.holderStates(team, record, now);
		const successor = holders[0]?.node ?? this.options.node;
		for (const node of revocable)
			if (!this.registry.isResponsive(node, now)) this.charges.transferAll(team, node, successor);
		return advanceRecord({
			record,
			settings,
			holders: revocable.size > 0 ? this.holderStates(team, record, now) : holders,
			revocable,
			mayMove: !this.isMovePaused(team, now),
			wallClockMs: this.options.date(),
		});
	}

	private revocableHolders(team: string, record: QuotaRecord, now: number): ReadonlySet<string> {
		const { node: self, incarnation: selfIncarnation } = this.options;
		for (const { node, incarnation } of record.allotments) {
			const isRevocable =
				node === self ? incarnation !== selfIncarnation : this.registry.isRevocable(node, incarnation, now);
			if (isRevocable && this.revocations.begin(team, node)) this.registry.markTeamChanged(node, team, true);
		}
		return this.revocations.nodes(team);
	}

	/** Returns the responsive holders, the preferred one first. */
	private holderStates(team: string, record: QuotaRecord, now: number): HolderState[] {
		const { node: self, nodes } = this.options;
		const preferredNode = this.demand.preferredHolder(team) ?? self;
		const states: HolderState[] = [];
		for (const node of nodes) {
			const incarnation = this.incarnationOf(node);
			if (incarnation === undefined || (node !== self && !this.registry.isResponsive(node, now))) continue;
			const held = allotmentOf(record, node);
			const state = {
				node,
				incarnation,
				capConfirmed: node === self || (held !== undefined && this.registry.hasConfirmedCap(node, team)),
				used: this.charges.chargedTo(team, node),
				requested: this.demand.requestedAmount(node, team),
			};
			if (node === preferredNode) states.unshift(state);
			else states.push(state);
		}
		return states;
	}
}
