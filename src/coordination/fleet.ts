import type { Job } from "../bookkeeping/jobs.js";
import { Machine, machineAllowed } from "../bookkeeping/machines.js";
import type { RentRequest } from "../protocol/cloud-api.js";
import type { ListedMachine, MachineType } from "../protocol/model.js";
import type { OperatorSettings } from "../protocol/operator.js";
import { zoneRoom } from "./placing.js";
import { CallFailed, type CloudPort, type Log, type TimePort } from "./ports.js";
import {
	type Counters,
	climb,
	loadOf,
	machinesToCut,
	machinesToSpare,
	type Offer,
	offerKey,
	offersFor,
	rankOffers,
	remainingOfRunning,
	remainingOfWaiting,
	tasksHeld,
} from "./scaling.js";
import type { Tables } from "./tables.js";

export interface FleetHooks {
	post(command: () => void): void;
	authority(): boolean;
	/** A machine is proved gone: its record may go, and its tasks wait again. */
	gone(machine: Machine): void;
}

interface Rental {
	request: RentRequest;
	type: MachineType;
	firstSentAt: number;
}

const goneKeptMs = 10 * 60_000;
const takenLeadMs = 700;
/** An offer this many times as dear as the cheapest of its kind is not taken at once. */
const dearFrom = 2;
const rentalTriesMs = 60_000;
/** A machine without tasks that answers do not reach goes back after this long. */
const deafPatienceMs = 5000;
/** The cloud's own bound. */
const mostPerCall = 50;
/** Standing jobs that came so lately are expected once more. */
const expectedMs = 60_000;
/** A job of which nothing runs has waited so long when a marked machine is asked for room. */
const waitsBesideMarkedMs = 20_000;
/** Machines of a zone that is cut off are waited for this many times as long. */
const zonePatience = 4;

/** Rents and returns machines: the hill climb and its exceptions. */
export class Fleet {
	private counters: Counters = { up: 0, down: 0 };
	private readonly refusedUntil = new Map<string, number>();
	private readonly goneAt = new Map<string, number>();
	private rental: Rental | null = null;
	/** Times in a row that the counter acted with nothing but dear offers left. */
	private patience = 0;
	private requestNumber = 0;
	private listing = false;
	private nextList = 0;
	private listed = false;
	private lastListed: Set<string> | null = null;
	private returning = false;
	private nextReturn = 0;
	private nextRound: number;
	/** Zones that seem to be cut off: nothing is rented there, and their machines are kept for longer. */
	private cutOff = new Set<string>();
	/** Unanswered for this long, a machine whose lease is over goes back. */
	private readonly silentMs: number;

	constructor(
		private readonly tables: Tables,
		private readonly cloud: CloudPort,
		private readonly time: TimePort,
		private readonly settings: OperatorSettings,
		private readonly listLagMs: number,
		private readonly leaseMs: number,
		private readonly requestPrefix: string,
		private readonly hooks: FleetHooks,
		private readonly log: Log,
	) {
		// Machines that the leader before rented last are not listed yet: a first round
		// before the first list would rent them again.
		this.nextRound = time.now() + 500;
		this.silentMs = leaseMs + settings.machines.silent_extra_s * 1000;
	}

	/** Called a few times a second, in the queue, with authority. */
	tick(): void {
		const now = this.time.now();
		this.cutOff = this.silentZones();
		this.returns(now);
		if (!this.listing && now >= this.nextList) this.list(now);
		if (now >= this.nextRound && this.listed && this.tables.rebuilt) {
			this.nextRound = now + this.settings.climb.round_s * 1000;
			this.round(now);
		}
	}

	// --- the hill climb ---

	/**
	 * Seconds of work that a busy core has left on the average: half an estimated
	 * run of the present tasks. The marks are multiples of it, so that they mean the
	 * same for tasks of seconds and of hours.
	 */
	unitS(): number {
		let cpus = 0;
		let sum = 0;
		for (const job of this.tables.jobs.values()) {
			if (job.doomed || job.standing) continue;
			const share = (job.waiting.length + job.attempts.size) * job.spec.cpus;
			cpus += share;
			sum += share * Math.min(job.estimateS, this.settings.climb.cap_s);
		}
		return cpus > 0 ? Math.max(1, sum / cpus / 2) : 1;
	}

	/**
	 * Remaining work of all live jobs. A team's limit bounds how fast its work can
	 * be done, whatever is rented, so a team counts at most for as many cores as its
	 * limit allows, each loaded to the high mark.
	 *
	 * Replicas are not work that ends. A core that one takes counts as an ordinary busy core does
	 * on the average, which lies between the marks: it neither rents nor returns machines.
	 */
	remainingWork(now: number, unitS: number): number {
		const { cap_s: cap, high } = this.settings.climb;
		const byTeam = new Map<string, number>();
		for (const job of this.tables.jobs.values()) {
			// Work that fails wherever it goes must not rent machines.
			if (job.doomed) continue;
			if (job.standing) {
				const cores = (job.waiting.length + job.attempts.size) * job.spec.cpus;
				byTeam.set(job.spec.team, (byTeam.get(job.spec.team) ?? 0) + cores * unitS);
				continue;
			}
			const estimate = job.estimateS;
			let work = job.waiting.length * remainingOfWaiting(job.spec.cpus, estimate, cap);
			for (const attempt of job.attempts.values()) work += remainingOf(attempt, now, estimate, cap);
			byTeam.set(job.spec.team, (byTeam.get(job.spec.team) ?? 0) + work);
		}
		let sum = 0;
		for (const [team, work] of byTeam) {
			sum += Math.min(work, (this.tables.quotas.team(team)?.cpus_max ?? 0) * high * unitS);
		}
		return sum;
	}

	/** Cores that the teams' limits let the present work use at once. */
	usableCpus(): number {
		const byTeam = new Map<string, number>();
		for (const job of this.tables.jobs.values()) {
			if (job.doomed) continue;
			const tasks = job.waiting.length + job.attempts.size;
			byTeam.set(job.spec.team, (byTeam.get(job.spec.team) ?? 0) + tasks * job.spec.cpus);
		}
		let sum = 0;
		for (const [team, cpus] of byTeam) sum += Math.min(cpus, this.tables.quotas.team(team)?.cpus_max ?? 0);
		return sum;
	}

	private round(now: number): void {
		const counted = [...this.tables.machines.values()].filter((m) => m.counts);
		const cpus = counted.reduce((sum, m) => sum + m.type.cpus, 0);
		const n = counted.length;
		const unitS = this.unitS();
		const work = this.remainingWork(now, unitS);
		const grow = () => {
			if (!this.anyWaiting(now) || this.unmark(work, unitS, n, cpus)) return;
			for (const job of this.waitingByAge(now))
				if (this.rentFor(job, work, unitS, n, cpus, now) !== "nothing to be had") return;
		};
		if (this.serveReplicas(counted, unitS, n, cpus, now)) return;
		// With nothing to run, no machine is kept; the first job to wait rents one.
		if (n === 0) {
			grow();
			return;
		}
		if (this.serveUnheld(counted, unitS, n, cpus, now)) return;
		this.unmarkForWaiting(now);
		const { counters, action } = climb(
			this.counters,
			loadOf(work, n),
			this.tables.jobs.size === 0 ? n + 1 : n,
			(cpus / n) * unitS,
			this.settings.climb,
		);
		this.counters = counters;
		if (action !== "up" && counters.up === 0) this.patience = 0;
		this.log.debug({ work: Math.round(work), n, cpus, ...counters, action }, "round");
		if (action === "up") grow();
		else if (action === "down") this.mark(counted, work, unitS, cpus, now);
	}

	/** Its tasks wait, and may run now. */
	private mayRun(job: Job, now: number): boolean {
		const { team, cpus, gpus } = job.spec;
		return job.waiting.length > 0 && job.notBefore <= now && this.tables.quotas.fitsLimit(team, cpus, gpus);
	}

	private anyWaiting(now: number): boolean {
		for (const job of this.tables.jobs.values()) if (this.mayRun(job, now)) return true;
		return false;
	}

	/**
	 * Jobs that machines can be rented for, oldest first: where nothing is to be had for the
	 * oldest, the next may want another type or zone. Of jobs with the same demands one stands
	 * for all; what fails everywhere comes last.
	 */
	private waitingByAge(now: number): Job[] {
		const byDemand = new Map<string, Job>();
		const before = (a: Job, b: Job) => (a.doomed === b.doomed ? a.at < b.at : b.doomed);
		for (const job of this.tables.jobs.values()) {
			// Replicas have machines rented by themselves, and of no other kind than they need.
			if (job.standing || !this.mayRun(job, now)) continue;
			const { types, zone, spot, cpus, gpus, memoryGb } = job.spec;
			const demand = JSON.stringify([types, zone, spot, cpus, gpus, memoryGb]);
			const best = byDemand.get(demand);
			if (!best || before(job, best)) byDemand.set(demand, job);
		}
		return [...byDemand.values()].sort((a, b) => (before(a, b) ? -1 : 1));
	}

	/**
	 * For a job that no counted machine could hold one is unmarked or rented, and that is this
	 * round. Where neither can be had the round goes on: the others want machines too. What
	 * failed everywhere may do so no more, and is tried again as well.
	 */
	private serveUnheld(counted: Machine[], unitS: number, n: number, cpus: number, now: number): boolean {
		for (const job of this.tables.jobs.values()) {
			if (job.waiting.length === 0 || job.notBefore > now) continue;
			if (counted.some((m) => couldHold(m, job))) continue;
			if (this.rental || this.unmarkFor(job)) return true;
			if (this.rentFor(job, 0, unitS, n, cpus, now) === "asked") return true;
		}
		return false;
	}

	/**
	 * Replicas can't wait for the load to rise. Those that wait, or have to leave their machine,
	 * and for which no machine has room that is up or on its way, have one rented.
	 */
	private serveReplicas(counted: Machine[], unitS: number, n: number, cpus: number, now: number): boolean {
		const room = new Room();
		for (const job of this.tables.jobs.values()) {
			if (!job.standing) continue;
			const leaving = [...job.attempts.values()].filter((a) => a.machine.leaving && a.moveTo === null);
			const waiting = job.notBefore <= now ? job.waiting.length : 0;
			if (waiting + leaving.length === 0) continue;
			const zones = this.tables.zonesOf(job);
			for (const { machine } of leaving) zones[machine.zone] = (zones[machine.zone] ?? 1) - 1;
			const need = room.take(job, waiting + leaving.length, counted, zones);
			if (need === 0) continue;
			if (this.rental) return true;
			if (this.unmarkFor(job)) return true;
			if (this.rentForReplicas(job, need, zones, unitS, n, cpus, now)) return true;
		}
		return this.expectReplicas(counted, unitS, n, cpus, now);
	}

	/**
	 * A machine takes longer to boot than a replica may wait. So what came in the last minute is
	 * expected to come once more, and has room kept on machines that it may use. Work that is
	 * not standing can run there meanwhile: replicas go before it.
	 */
	private expectReplicas(counted: Machine[], unitS: number, n: number, cpus: number, now: number): boolean {
		const lacking = this.lackingForExpected(counted);
		if (!lacking) return false;
		const { job, need, zones } = lacking;
		return this.rental !== null || this.rentForReplicas(job, need, zones, unitS, n, cpus, now);
	}

	/** The first job of the last minute that would not find room on the machines if it came again. */
	private lackingForExpected(machines: Machine[]) {
		const room = new Room(beside);
		for (const job of this.lastMinute()) {
			const zones: Record<string, number> = {};
			const need = room.take(job, job.spec.tasks, machines, zones);
			if (need > 0) return { job, need, zones };
		}
		return null;
	}

	private lastMinute(): Job[] {
		const date = this.time.date().getTime();
		return [...this.tables.jobs.values()].filter((job) => job.standing && date - job.at <= expectedMs);
	}

	private rentForReplicas(
		job: Job,
		need: number,
		zones: Record<string, number>,
		unitS: number,
		n: number,
		cpus: number,
		now: number,
	): boolean {
		const { spec } = job;
		const full = new Set(Object.keys(zones).filter((zone) => zoneRoom(spec, zones, zone) < 1));
		return this.rentFor(job, 0, unitS, n, cpus, now, need, full) === "asked";
	}

	/** Takes back the mark of a machine with room for the job; false if there is none. */
	private unmarkFor(job: Job): boolean {
		for (const machine of this.tables.machines.values()) {
			if (!machine.marked || !machine.sound) continue;
			if (!machineAllowed(job.spec, machine) || !machine.hasRoomFor(job.spec)) continue;
			machine.marked = false;
			this.tables.changed = true;
			this.log.info({ machines: [machine.id], job: job.id }, "unmarked");
			return true;
		}
		return false;
	}

	/**
	 * Tasks on a marked machine may run for long. Work that waits all that time, though the load
	 * is below the high mark, is let in.
	 */
	private unmarkForWaiting(now: number): void {
		for (const job of this.tables.jobs.values()) {
			if (job.waiting.length === 0 || job.attempts.size > 0) continue;
			if (now - Math.max(job.knownAt, job.failedAt) < waitsBesideMarkedMs) continue;
			if (this.mayRun(job, now) && this.unmarkFor(job)) return;
		}
	}

	/** Takes marks back until the load is down to the high mark; false if there was none. */
	private unmark(work: number, unitS: number, n: number, cpus: number): boolean {
		const highPerCpu = this.settings.climb.high * unitS;
		const back: string[] = [];
		for (const machine of this.tables.machines.values()) {
			if (!machine.marked || machine.returning || machine.lost) continue;
			machine.marked = false;
			back.push(machine.id);
			cpus += machine.type.cpus;
			n += 1;
			if (loadOf(work, n) <= highPerCpu * (cpus / n)) break;
		}
		if (back.length === 0) return false;
		this.tables.changed = true;
		this.log.info({ machines: back }, "unmarked");
		return true;
	}

	/**
	 * Marks those with the least remaining work for their price: of two that are
	 * about as busy, the dear one goes.
	 */
	private mark(counted: Machine[], work: number, unitS: number, cpus: number, now: number): void {
		// What was rented for replicas is the idlest of all until they are there.
		for (const job of this.tables.jobs.values()) {
			if (!job.standing) continue;
			if (job.waiting.length > 0 || [...job.attempts.values()].some((a) => a.machine.leaving)) return;
		}
		const cap = this.settings.climb.cap_s;
		const ranked = counted
			.map((machine) => {
				let left = 1;
				let replicas = false;
				for (const a of machine.attempts.values()) {
					left += remainingOf(a, now, a.job.estimateS, cap);
					replicas ||= a.job.standing;
				}
				return { machine, replicas, worth: left / Math.max(machine.hourlyPrice, 1e-6) };
			})
			.filter(({ machine, replicas }) => !replicas || this.couldMove(machine, counted))
			.sort((a, b) => Number(a.replicas) - Number(b.replicas) || a.worth - b.worth);
		const leaving = ranked.map((r) => r.machine.type.cpus);
		const k = machinesToSpare(work, counted.length, cpus, leaving, this.settings.climb.low * unitS);
		const marked = new Set(ranked.slice(0, k).map((r) => r.machine));
		// Rented because nothing else could hold some work, a machine is the idlest of all until it is up.
		for (const job of this.tables.jobs.values()) {
			if (job.waiting.length === 0) continue;
			if (counted.some((m) => !marked.has(m) && couldHold(m, job))) continue;
			const holder = counted.find((m) => couldHold(m, job));
			if (holder) marked.delete(holder);
		}
		// Nor what is kept for replicas that may come: it would be rented again at once.
		const lacking = this.lackingForExpected(counted.filter((m) => !marked.has(m)));
		if (lacking) for (const m of marked) if (machineAllowed(lacking.job.spec, m)) marked.delete(m);
		if (marked.size === 0) return;
		for (const machine of marked) machine.marked = true;
		this.log.info({ machines: [...marked].map((m) => m.id) }, "marked to drain and return");
	}

	/**
	 * With replicas on it, a machine is worth draining only if it is all but empty and they have
	 * room elsewhere now.
	 */
	private couldMove(machine: Machine, counted: Machine[]): boolean {
		if (machine.usedCpus > machine.type.cpus / 4) return false;
		const others = counted.filter((m) => m !== machine && m.up && !m.suspect);
		const room = new Room();
		for (const { job } of machine.attempts.values()) {
			if (!job.standing) continue;
			const zones = this.tables.zonesOf(job);
			zones[machine.zone] = (zones[machine.zone] ?? 1) - 1;
			if (room.take(job, 1, others, zones) > 0) return false;
		}
		return true;
	}

	private rentFor(
		job: Job,
		work: number,
		unitS: number,
		n: number,
		cpus: number,
		now: number,
		replicas = 0,
		full: ReadonlySet<string> = new Set(),
	): "asked" | "not now" | "nothing to be had" {
		if (this.rental) return "not now";
		const most = this.settings.climb.most_machines;
		if (most > 0 && n >= most) return "not now";
		const usable = this.usableCpus();
		if (n > 0 && work > 0 && cpus >= usable) return "not now";
		const offers = rankOffers(
			offersFor(job.spec, [...this.tables.types.values()]),
			job.spec,
			replicas > 0 ? this.comingCpus(job, replicas) : Math.max(usable - cpus, job.spec.cpus),
		);
		const open = offers.filter(
			(o) =>
				!this.cutOff.has(o.zone) && !full.has(o.zone) && (this.refusedUntil.get(offerKey(o)) ?? 0) <= now,
		);
		const offer = open[0];
		if (!offer) return "nothing to be had";
		// Dear machines are rented only when the load stays high for longer, by as much as they cost more.
		const dearness = pricePerCpu(offer) / pricePerCpu(offers[0] as Offer);
		this.patience += 1;
		if (
			n > 0 &&
			work > 0 &&
			dearness > dearFrom &&
			this.patience <= 2 * dearness * this.settings.climb.up_past
		)
			return "not now";
		this.patience = 0;
		let count = machinesToCut(work, n, cpus, offer.type.cpus, this.settings.climb.high * unitS, mostPerCall);
		// Cores beyond what the teams' limits allow would stand idle.
		count = Math.min(count, Math.ceil(Math.max(0, usable - cpus) / offer.type.cpus));
		if (replicas > 0) {
			const here = job.spec.spread ? Math.min(replicas, Math.ceil(job.spec.tasks / 2)) : replicas;
			count = Math.ceil(here / tasksHeld(job.spec, offer.type));
		}
		if (most > 0) count = Math.min(count, most - n);
		count = Math.max(1, Math.min(mostPerCall, count));
		this.requestNumber += 1;
		this.rental = {
			request: {
				name: `${this.requestPrefix}-${this.requestNumber}`,
				type: offer.type.name,
				zone: offer.zone,
				spot: offer.spot,
				count,
			},
			type: offer.type,
			firstSentAt: now,
		};
		this.sendRental(this.rental);
		return "asked";
	}

	private sendRental(rental: Rental): void {
		const { request } = rental;
		this.cloud.rent(request).then(
			(ids) =>
				this.hooks.post(() => {
					this.rental = null;
					const now = this.time.now();
					for (const id of ids) this.expect(id, rental, now);
					if (ids.length > 0) this.log.info({ ...request, got: ids.length }, "rented");
					else this.log.debug({ ...request }, "no capacity");
					if (ids.length < request.count) this.refused(rental, now);
					// What one offer could not give is asked of the next, and what one call could not
					// ask for of another, without waiting for more rounds.
					if (ids.length < request.count || request.count === mostPerCall) {
						this.nextRound = Math.min(this.nextRound, now + 50);
						this.counters.up = this.settings.climb.up_past;
					}
				}),
			(error) =>
				this.hooks.post(() => {
					const now = this.time.now();
					const failure = error instanceof CallFailed ? error : null;
					if (failure?.kind === "rejected" || now - rental.firstSentAt > rentalTriesMs) {
						this.rental = null;
						this.refused(rental, now);
						this.log.info({ ...request, err: String(error) }, "rental given up");
					} else {
						// Perhaps it was carried out: the same name gets the same machines.
						this.time.after(500, () =>
							this.hooks.post(() => {
								if (this.rental === rental && this.hooks.authority()) this.sendRental(rental);
								else this.rental = null;
							}),
						);
					}
				}),
		);
	}

	private refused(rental: Rental, now: number): void {
		const { zone, spot } = rental.request;
		this.refusedUntil.set(
			offerKey({ type: rental.type, zone, spot }),
			now + this.settings.climb.refusal_s * 1000,
		);
	}

	private expect(id: string, rental: Rental, now: number): void {
		if (this.tables.machines.has(id) || this.goneAt.has(id)) return;
		const { zone, spot } = rental.request;
		const machine = new Machine(id, rental.type, zone, spot, now);
		this.tables.machines.set(id, machine);
	}

	// --- the machine list ---

	private list(now: number): void {
		this.listing = true;
		this.readList().then(
			(machines) =>
				this.hooks.post(() => {
					this.listing = false;
					this.listed = true;
					this.nextList = this.time.now() + Math.max(5000, this.listLagMs);
					this.reconcile(machines, this.time.now());
				}),
			(error) =>
				this.hooks.post(() => {
					this.listing = false;
					this.nextList = now + 1500;
					// Without the cloud nothing can be rented either; do not hold the rounds up for long.
					this.listed ||= !(error instanceof CallFailed) || error.status !== 429;
					this.log.debug({ err: String(error) }, "list failed");
				}),
		);
	}

	/** Cores of the replicas now, and of as many as came in the last minute: more are on their way as a rule. */
	private comingCpus(job: Job, replicas: number): number {
		let sum = replicas * job.spec.cpus;
		for (const { spec } of this.lastMinute()) sum += spec.tasks * spec.cpus;
		return sum;
	}

	private async readList(): Promise<ListedMachine[]> {
		const all: ListedMachine[] = [];
		let after = "";
		for (;;) {
			const { machines, more } = await this.cloud.list(after);
			all.push(...machines);
			const last = machines.at(-1);
			if (!more || !last) return all;
			after = last.id;
		}
	}

	/** The cloud has named its machines to this leader, and this one is not among them. */
	unlisted(id: string): boolean {
		return this.lastListed !== null && !this.lastListed.has(id);
	}

	private reconcile(list: ListedMachine[], now: number): void {
		for (const [id, at] of this.goneAt) if (now - at > goneKeptMs) this.goneAt.delete(id);
		const ids = new Set<string>();
		for (const item of list) {
			ids.add(item.id);
			if (this.goneAt.has(item.id)) continue;
			let machine = this.tables.machines.get(item.id);
			if (!machine) {
				const type = this.tables.types.get(item.type);
				if (!type) continue;
				machine = new Machine(item.id, type, item.zone, item.spot, now - item.ageS * 1000);
				machine.onlyListed = true;
				this.tables.machines.set(machine.id, machine);
				this.log.info({ machine: item.id, status: item.status }, "unexpected machine listed");
			}
			if (item.endpoint !== "" && machine.endpoint === "") machine.endpoint = item.endpoint;
			if (item.status === "failed" && !machine.returning) {
				machine.returning = true;
				this.log.info({ machine: item.id }, "failed machine goes back");
			}
		}
		this.lastListed = ids;
		// One known only from a list, never heard of and no longer listed, is not there.
		for (const machine of [...this.tables.machines.values()]) {
			if (machine.onlyListed && !machine.up && !ids.has(machine.id)) this.tables.machines.delete(machine.id);
		}
	}

	// --- returning ---

	/** Lost machines by zone, against all that are up there. */
	private silentZones(): Set<string> {
		const zones = new Map<string, { lost: number; up: number }>();
		for (const machine of this.tables.machines.values()) {
			// One that a new leader never heard is lost too, once its lease has run out.
			if (!machine.up && !machine.lost) continue;
			const zone = zones.get(machine.zone) ?? { lost: 0, up: 0 };
			zone.up += 1;
			if (machine.lost) zone.lost += 1;
			zones.set(machine.zone, zone);
		}
		const silent = new Set<string>();
		for (const [name, { lost, up }] of zones) if (lost >= 3 && lost > up / 2) silent.add(name);
		return silent;
	}

	private wantsReturn(machine: Machine, now: number): string | null {
		if (machine.returning) return "return requested";
		// A machine that vanishes proves nothing until its lease has run out; one that was
		// returned is proved gone at once, and so are the tasks on it.
		if (machine.takenAt !== null && now >= machine.takenAt - takenLeadMs) return "about to be taken";
		const hidden = this.tables.hidden.has(machine);
		const held = machine.attempts.size > 0 || hidden;
		// Most of a zone does not fall silent machine by machine: it is cut off, and what runs
		// there is worth more when it is heard again than what would have to boot then.
		const patience = this.cutOff.has(machine.zone) ? zonePatience : 1;
		if (machine.lost && now - machine.answeredAt > this.silentMs * patience) return "silent";
		const bootMs = Math.max(30, machine.type.bootS) * 1000 * this.settings.machines.boot_times;
		if (!machine.up && !hidden && now - machine.rentedAt > bootMs) return "never came up";
		// Its tasks go on until its lease has run out, unless answers reach it again before.
		if (machine.deafAt !== null && now - machine.deafAt > (held ? this.leaseMs : deafPatienceMs)) {
			return "answers do not reach it";
		}
		if (held) return null;
		if (machine.faulty) return "faulty";
		if (machine.marked) return "drained";
		if (machine.takenAt !== null && machine.confirmed) return "drained before it is taken";
		return null;
	}

	private returns(now: number): void {
		if (this.returning || now < this.nextReturn) return;
		const leaving: Machine[] = [];
		for (const machine of this.tables.machines.values()) {
			const why = this.wantsReturn(machine, now);
			if (why === null) continue;
			if (!machine.returning) this.log.info({ machine: machine.id, why }, "returning");
			machine.returning = true;
			leaving.push(machine);
			if (leaving.length === 100) break;
		}
		if (leaving.length === 0) return;
		this.returning = true;
		this.cloud.giveBack(leaving.map((m) => m.id)).then(
			() =>
				this.hooks.post(() => {
					this.returning = false;
					for (const machine of leaving) {
						this.goneAt.set(machine.id, this.time.now());
						// Its place can be rented again, whatever was refused before.
						this.refusedUntil.delete(offerKey(machine));
						this.hooks.gone(machine);
					}
				}),
			(error) =>
				this.hooks.post(() => {
					this.returning = false;
					this.nextReturn = this.time.now() + 700;
					this.log.debug({ err: String(error) }, "return failed");
				}),
		);
	}

	isGone(id: string): boolean {
		return this.goneAt.has(id);
	}
}

/** What is free, or taken by work that yields to replicas. */
function beside(machine: Machine): { cpus: number; memory: number } {
	let { cpus, memoryGb: memory } = machine.type;
	for (const { job } of machine.attempts.values()) {
		if (!job.standing) continue;
		cpus -= job.spec.cpus;
		memory -= job.spec.memoryGb;
	}
	return { cpus, memory };
}

/** Room on machines, used up as replicas are thought to be put there. */
class Room {
	private readonly left = new Map<Machine, { cpus: number; memory: number }>();

	constructor(private readonly of = (m: Machine) => ({ cpus: m.freeCpus, memory: m.freeMemory })) {}

	/** Puts so many replicas where they fit, and says how many do not. */
	take({ spec }: Job, count: number, machines: Machine[], zones: Record<string, number>): number {
		let need = count;
		for (const m of machines) {
			if (need === 0) break;
			if (!machineAllowed(spec, m)) continue;
			const left = this.left.get(m) ?? this.of(m);
			this.left.set(m, left);
			while (need > 0 && left.cpus >= spec.cpus && left.memory >= spec.memoryGb) {
				if ((spec.oneZone || spec.spread) && zoneRoom(spec, zones, m.zone) < 1) break;
				left.cpus -= spec.cpus;
				left.memory -= spec.memoryGb;
				zones[m.zone] = (zones[m.zone] ?? 0) + 1;
				need -= 1;
			}
		}
		return need;
	}
}

/** Whether the machine, empty, could hold a task of the job. */
function couldHold(machine: Machine, job: Job): boolean {
	return machineAllowed(job.spec, machine) && tasksHeld(job.spec, machine.type) > 0;
}

function remainingOf(
	attempt: { runningAt: number | null; job: Job },
	now: number,
	estimate: number,
	cap: number,
): number {
	const cpus = attempt.job.spec.cpus;
	if (attempt.runningAt === null) return remainingOfWaiting(cpus, estimate, cap);
	return remainingOfRunning(cpus, (now - attempt.runningAt) / 1000, estimate, cap);
}

function pricePerCpu(offer: Offer): number {
	return offer.price / offer.type.cpus;
}
