/** Begins and ends the terms of leadership of one controller process. */

import type { StoreReplica } from "../bookkeeping/store-replica.js";
import type { Incarnation, Term } from "../protocol/model/identifiers.js";
import type { OperatorSettings } from "../protocol/settings/operator.js";
import type { PlatformSettings } from "../protocol/settings/platform.js";
import type { MachineTypeCatalog } from "./fleet/machine-type-catalog.js";
import type { Leader } from "./leader.js";
import { createLeader, type LeaderPorts } from "./leader-composition.js";
import type { Leadership } from "./leadership/leadership.js";
import type { TeamQuotaPort } from "./ports/team-quota.js";
import type { ReplicaSync } from "./replication/replica-sync.js";
import type { ResignationReason } from "./state/resignation-reason.js";
import type { ActiveLeader } from "./workers/heartbeat-router.js";

/** Delay before the beginning of a term is retried because no machine types are available. */
const machineTypesRetryMs = 50;
/** Delay before the beginning of a term is retried because the read barrier failed. */
const readBarrierRetryMs = 100;

/** The dependencies of the term supervisor. */
export interface TermSupervisorOptions {
	platform: PlatformSettings;
	operator: OperatorSettings;
	incarnation: Incarnation;
	leadership: Leadership;
	replica: StoreReplica;
	replicaSync: ReplicaSync;
	machineTypes: MachineTypeCatalog;
	teamQuota: TeamQuotaPort | null;
	ports: LeaderPorts;
	/** Called when a leader has begun its term in this process. */
	onTermBegun(term: Term): void;
}

/**
 * Owns the leader of this process. A term begins in three steps: this process wins the leader key; the machine types
 * are available; and the store replica contains everything that was in the store when the key was won. Only then is the
 * leader created. It ends when leadership is lost.
 */
export class TermSupervisor {
	private currentLeader: Leader | null = null;
	/** The term whose leader key was won and that has not begun yet. */
	private pendingTerm: Term | null = null;

	constructor(private readonly options: TermSupervisorOptions) {}

	/** The leader whose term has begun in this process, whether or not it may act; null: there is none. */
	get leader(): Leader | null {
		return this.currentLeader;
	}

	/** The leader in this process and its term, if it is authorized to act; null otherwise. */
	get activeLeader(): ActiveLeader | null {
		const term = this.options.leadership.authorizedTerm();
		return term !== null && this.currentLeader ? { term, leader: this.currentLeader } : null;
	}

	/** Begins the term for which the leader key was won. */
	onElected(term: Term): void {
		this.options.ports.log.info({ term }, "leadership acquired");
		this.pendingTerm = term;
		this.tryBegin(term);
	}

	/** Ends the term, or abandons it if it has not begun yet. */
	onLeadershipLost(term: Term, reason: ResignationReason): void {
		this.options.ports.log.info({ term, reason }, "leadership lost");
		this.pendingTerm = null;
		this.currentLeader?.end();
		this.currentLeader = null;
	}

	private isPending(term: Term): boolean {
		return this.pendingTerm === term && this.options.leadership.currentTerm === term;
	}

	private tryBegin(term: Term): void {
		const { machineTypes, replicaSync, ports } = this.options;
		if (!this.isPending(term)) return;
		if (machineTypes.types === null) {
			this.retryBegin(term, machineTypesRetryMs);
			return;
		}
		const { types } = machineTypes;
		replicaSync.readBarrier().then(
			() =>
				ports.post(() => {
					if (!this.isPending(term)) return;
					this.pendingTerm = null;
					this.startLeader(term, types);
				}),
			() => this.retryBegin(term, readBarrierRetryMs),
		);
	}

	private retryBegin(term: Term, delayMs: number): void {
		const { clock, post } = this.options.ports;
		clock.after(delayMs, () => post(() => this.tryBegin(term)));
	}

	private startLeader(term: Term, types: NonNullable<MachineTypeCatalog["types"]>): void {
		const { platform, operator, incarnation, leadership, replica, replicaSync, teamQuota, ports } =
			this.options;
		this.currentLeader = createLeader({
			term,
			platform,
			operator,
			replica,
			machineTypes: types,
			ports,
			mayAct: () => leadership.authorizedTerm() === term,
			storeReachable: () => !replicaSync.unresponsive,
			resign: (reason) => leadership.resign(reason),
			teamQuota,
			requestPrefix: `${platform.node}-${incarnation}-${term}`,
		});
		this.currentLeader.begin();
		this.options.onTermBegun(term);
	}
}
