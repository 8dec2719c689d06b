import { AllotmentWriter, type AllotmentWriterOptions } from "./allotment-writer.js";
import { type Amount, isNothing, minus, nothing, plus, same, within } from "./amount.js";
import { type Charge, ChargeBook } from "./charges.js";
import { clockDrift } from "./holder.js";
import { HolderRegistry } from "./holder-registry.js";
import { type Allotment, allotmentOf, capOf, type LimitTerms, type QuotaRecord } from "./record.js";
import { excess, firstRecord, type HolderView, stepRecord } from "./record-step.js";
import { differences, Scrub } from "./scrub.js";
import type { HolderReply, QuotaTerms, TeamTerms } from "./terms.js";

export interface ManagerOptions extends Omit<AllotmentWriterOptions, "learned" | "moved"> {
	/** The leader's node, which holds allotments like any other node, and the incarnation of this process. */
	node: string;
	incarnation: string;
	/** Every node of the cluster. */
	nodes: readonly string[];
	/** The limits in the platform's settings, by team. */
	settings: ReadonlyMap<string, LimitTerms>;
	/** Time of day in milliseconds. */
	date(): number;
	expiryMs: number;
	marginMs: number;
	silentMs: number;
	/** Minimum time between two moves of one team's allotments. */
	movePauseMs: number;
}

const lookEveryMs = 100;

/**
 * The leader's side: divides each team's limit among the controllers by compare-and-set in the state
 * service, and records against whose allotment each task counts. A controller may use an allotment only
 * after the store has confirmed that no other controller holds that part of the limit.
 */
export class AllotmentManager {
	readonly charges: ChargeBook;
	private readonly registry: HolderRegistry;
	private readonly writer: AllotmentWriter;
	private readonly beganAt: number;
	/** True once all tasks of earlier leaders are charged. */
	private started = false;
	private nextLookAt = Number.NEGATIVE_INFINITY;
	/** Teams whose records may need a change. */
	private readonly due = new Set<string>();
	/**
	 * By team: nodes whose allotment is being revoked because its process can no longer admit anything. The
	 * process may reply again while the write is in flight, and the write may be executed late: the node may
	 * admit nothing until the stored record has changed, whatever the process replies.
	 */
	private readonly revoking = new Map<string, Set<string>>();
	/** The responsive nodes at the last check, joined with commas. */
	private heardBefore = "";
	private readonly scrubbing = new Scrub();
	private readonly wanted = new Map<string, Map<string, Amount>>();
	private readonly preferred = new Map<string, string>();
	private readonly movedAt = new Map<string, number>();

	constructor(private readonly options: ManagerOptions) {
		this.beganAt = options.now();
		this.registry = new HolderRegistry({ ...options, beganAt: this.beganAt });
		this.writer = new AllotmentWriter({
			...options,
			learned: (teams) => this.recordsChanged(teams),
			moved: (team) => this.movedAt.set(team, options.now()),
		});
		this.charges = new ChargeBook((team, node) => this.chargesChanged(team, node));
	}

	end(): void {
		this.writer.end();
	}

	/** Starts enforcing allotments. Called once all tasks that earlier leaders started are charged. */
	start(): void {
		if (this.started) return;
		this.started = true;
		for (const team of this.options.settings.keys()) this.termsChanged(team);
		this.allDue();
	}

	/**
	 * Schedules a check of the team if the node is charged more than its allotment, so that the allotment
	 * grows.
	 */
	private chargesChanged(team: string, node: string): void {
		this.registry.changed(node, team, false);
		const held = this.allotmentAt(node, team)?.amount ?? nothing;
		if (!within(this.charges.of(team, node), held)) this.due.add(team);
	}

	private allDue(): void {
		for (const team of this.options.settings.keys()) this.due.add(team);
	}

	// --- holders ---

	/** Processes a holder's reply. Returns true if the batch of admissions that came with it is valid. */
	heard(node: string, reply: HolderReply): boolean {
		const before = this.registry.incarnation(node);
		const { batchCounts } = this.registry.heard(node, reply, this.options.now());
		const present = this.registry.incarnation(node);
		if (present !== undefined && present !== before) this.processChanged(node, present);
		for (const { team, amount } of reply.wanted ?? []) this.want(node, team, amount);
		return batchCounts && this.started;
	}

	/** The node has a new current process, so any other process that holds its allotments has ended. */
	private processChanged(node: string, present: string): void {
		for (const team of this.options.settings.keys()) {
			this.registry.changed(node, team, true);
			const held = this.allotmentAt(node, team);
			if (held && held.incarnation !== present) this.registry.noteEnded(held.incarnation);
		}
		this.allDue();
	}

	/** Returns the next message for the node's holder, or null if no process of the node has replied. */
	termsFor(node: string): QuotaTerms | null {
		// Before the start the messages carry no allotments: they only identify the leader and the holders'
		// processes.
		return this.registry.termsFor(node, this.started, (team) => this.teamTerms(node, team));
	}

	private teamTerms(node: string, team: string): TeamTerms {
		const record = this.recordOf(team);
		const charged = this.charges.of(team, node);
		const limit = (record?.inForce ?? this.options.settings.get(team))?.limit ?? nothing;
		const free = minus(limit, this.charges.total(team));
		return { team, cap: plus(charged, this.roomAt(node, team)), charged, free };
	}

	private termsChanged(team: string): void {
		for (const node of this.options.nodes) this.registry.changed(node, team, true);
	}

	// --- demand, and which nodes may admit it ---

	/** Sets the amount that the node would use for the team without a limit, including its running tasks. */
	want(node: string, team: string, amount: Amount): void {
		let nodes = this.wanted.get(team);
		if (!nodes) {
			nodes = new Map();
			this.wanted.set(team, nodes);
		}
		const before = nodes.get(node) ?? nothing;
		if (same(before, amount)) return;
		nodes.set(node, amount);
		this.due.add(team);
	}

	/** Sets the controller that receives the part of the limit that no controller requests. */
	prefer(node: string, team: string): void {
		if (this.preferred.get(team) === node) return;
		this.preferred.set(team, node);
		this.due.add(team);
	}

	/** True if the node is responsive and its allotment has capacity for a task of this size. */
	hasRoom(node: string, team: string, size: Amount): boolean {
		const { options } = this;
		if (node !== options.node && !this.registry.usable(node, options.now())) return false;
		return within(size, this.roomAt(node, team));
	}

	/**
	 * Returns the amount that the node's holder may still admit. A new leader does not know who admitted the
	 * tasks that it finds running, so their charges may be wrong in two ways, and every holder leaves an
	 * amount unused that covers both. A holder may be charged more than its allotment until the allotment
	 * has grown. And the charges of a holder that has not confirmed a message of this term may belong to
	 * another holder: it still uses the allotment of the previous term, possibly all of it.
	 */
	private roomAt(node: string, team: string): Amount {
		const allotment = this.allotmentAt(node, team);
		if (!allotment || allotment.incarnation !== this.incarnationOf(node)) return nothing;
		if (this.revoking.get(team)?.has(node)) return nothing;
		const room = minus(capOf(allotment), this.charges.of(team, node));
		return minus(room, this.doubtful(team));
	}

	private doubtful(team: string): Amount {
		let doubtful = nothing;
		for (const node of this.options.nodes) {
			const known = this.incarnationOf(node) !== undefined;
			const sure = known ? (this.allotmentAt(node, team)?.amount ?? nothing) : nothing;
			doubtful = plus(doubtful, minus(this.charges.of(team, node), sure));
		}
		return doubtful;
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
		if (node === this.options.node) return this.hasRoom(node, team, size);
		const allotment = this.allotmentAt(node, team);
		if (!allotment || allotment.incarnation !== this.registry.incarnation(node)) return false;
		if (this.revoking.get(team)?.has(node)) return false;
		return within(plus(this.charges.of(team, node), size), allotment.amount);
	}

	/** Charges a task that was found running to the node whose allotment has the most unused capacity. */
	chargeFound(team: string, size: Amount): Charge {
		return this.charges.add(team, this.roomiest(team, size), size);
	}

	private roomiest(team: string, size: Amount): string {
		const record = this.recordOf(team);
		let best = this.options.node;
		let most = -1;
		for (const { node, amount } of record?.allotments ?? []) {
			const room = minus(amount, this.charges.of(team, node));
			const part = size.cpus > 0 ? room.cpus : room.gpus;
			if (part > most) [best, most] = [node, part];
		}
		return best;
	}

	// --- limits ---

	private recordOf(team: string): QuotaRecord | undefined {
		return this.options.values.record(team);
	}

	/** Returns the amount that the team uses above a lower limit that is pending. */
	excess(team: string): Amount {
		const record = this.recordOf(team);
		return record ? excess(record, this.charges.total(team)) : nothing;
	}

	/**
	 * Compares records and charges with an independent count of the running tasks, and logs persistent
	 * differences.
	 */
	scrub(running: ReadonlyMap<string, { amount: Amount; tolerance: Amount }>): void {
		if (!this.started) return;
		const found = [...running].flatMap(([team, { amount, tolerance }]) => {
			const record = this.recordOf(team);
			if (!record) return [];
			return differences({
				record,
				nodes: this.options.nodes,
				charged: (node) => this.charges.of(team, node),
				total: this.charges.total(team),
				running: amount,
				tolerance,
			});
		});
		for (const { what, ...fields } of this.scrubbing.lasting(found)) this.options.log.error(fields, what);
	}

	/** Applies a stored value; undefined if the key was deleted. */
	stored(key: string, value: unknown, revision: number): void {
		this.writer.learn(key, value, revision);
	}

	private recordsChanged(teams: readonly string[]): void {
		for (const team of teams) {
			this.revoking.delete(team);
			this.termsChanged(team);
			if (this.options.settings.has(team)) this.due.add(team);
		}
	}

	// --- time ---

	/**
	 * Checks teams and writes changed records. Called periodically while this process has authority as
	 * leader.
	 */
	tick(): void {
		const now = this.options.now();
		if (!this.started || !this.writer.ready || now < this.nextLookAt || this.waitsForUnreadable(now)) return;
		this.nextLookAt = now + lookEveryMs;
		this.noticeHolders(now);
		const next: QuotaRecord[] = [];
		for (const team of [...this.due]) {
			const record = this.nextRecord(team, this.options.settings.get(team) as LimitTerms, now);
			if (record !== this.recordOf(team)) next.push(record);
			else if (this.settled(team, record, now)) this.due.delete(team);
		}
		this.writer.write(next);
	}

	private noticeHolders(now: number): void {
		const heard = this.options.nodes.filter((node) => this.registry.usable(node, now)).join();
		if (heard !== this.heardBefore) this.allDue();
		this.heardBefore = heard;
	}

	/** True if the team's record needs no change until a new event: time alone changes nothing. */
	private settled(team: string, record: QuotaRecord, now: number): boolean {
		if (record.pending || this.paused(team, now)) return false;
		return record.allotments.every(
			({ node, reclaiming }) =>
				isNothing(reclaiming) && (node === this.options.node || this.registry.usable(node, now)),
		);
	}

	private paused(team: string, now: number): boolean {
		return now - (this.movedAt.get(team) ?? Number.NEGATIVE_INFINITY) < this.options.movePauseMs;
	}

	/**
	 * Unreadable records may contain allotments; these are unusable once all allotments of earlier
	 * leaders have expired.
	 */
	private waitsForUnreadable(now: number): boolean {
		const { values, expiryMs, marginMs } = this.options;
		return values.unreadable && now <= this.beganAt + expiryMs * (1 + 2 * clockDrift) + marginMs;
	}

	private nextRecord(team: string, settings: LimitTerms, now: number): QuotaRecord {
		const record = this.recordOf(team) ?? firstRecord(team, settings);
		const lost = this.lostHolders(team, record, now);
		const holders = this.holderViews(team, record, now);
		const heir = holders[0]?.node ?? this.options.node;
		for (const node of lost) if (!this.registry.usable(node, now)) this.charges.moveAll(team, node, heir);
		return stepRecord({
			record,
			settings,
			holders: lost.size > 0 ? this.holderViews(team, record, now) : holders,
			lost,
			mayMove: !this.paused(team, now),
			date: this.options.date(),
		});
	}

	private lostHolders(team: string, record: QuotaRecord, now: number): Set<string> {
		const { node: self, incarnation: own } = this.options;
		const lost = this.revoking.get(team) ?? new Set();
		for (const { node, incarnation } of record.allotments) {
			const gone = node === self ? incarnation !== own : this.registry.lost(node, incarnation, now);
			if (!gone || lost.has(node)) continue;
			lost.add(node);
			this.registry.changed(node, team, true);
		}
		if (lost.size > 0) this.revoking.set(team, lost);
		return lost;
	}

	/** Returns the responsive holders, the preferred one first. */
	private holderViews(team: string, record: QuotaRecord, now: number): HolderView[] {
		const { node: self, nodes } = this.options;
		const first = this.preferred.get(team) ?? self;
		const views: HolderView[] = [];
		for (const node of nodes) {
			const incarnation = this.incarnationOf(node);
			if (incarnation === undefined || (node !== self && !this.registry.usable(node, now))) continue;
			const held = allotmentOf(record, node);
			const view = {
				node,
				incarnation,
				knowsCap: node === self || (held !== undefined && this.registry.knowsCap(node, team)),
				used: this.charges.of(team, node),
				wanted: this.wanted.get(team)?.get(node) ?? nothing,
			};
			if (node === first) views.unshift(view);
			else views.push(view);
		}
		return views;
	}
}
