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

/** Waited for before machine types are looked for again. */
const machineTypesRetryMs = 50;
/** Waited for before the store is asked again whether the replica is up to date. */
const readBarrierRetryMs = 100;

/** What the supervisor needs. */
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
	/** A leader has begun its term in this process. */
	onTermBegun(term: Term): void;
}

/**
 * A term begins in three steps: the leader key is won; machine types are known; and the replica holds everything
 * that was in the store when the key was won. Only then is there a leader. It ends when leadership is lost.
 */
export class TermSupervisor {
	private current: Leader | null = null;
	/** The term that was won and has not begun. */
	private beginning: Term | null = null;

	constructor(private readonly options: TermSupervisorOptions) {}

	/** The leader of the term that has begun here, whether it may act or not; null: there is none. */
	get leader(): Leader | null {
		return this.current;
	}

	/** The leader, as long as this process may act for the controllers. */
	get activeLeader(): ActiveLeader | null {
		const term = this.options.leadership.authorizedTerm();
		return term !== null && this.current ? { term, leader: this.current } : null;
	}

	/** The leader key was won. */
	onElected(term: Term): void {
		this.options.ports.log.info({ term }, "leadership acquired");
		this.beginning = term;
		this.begin(term);
	}

	/** Leadership has ended, whatever the step it was at. */
	onLeadershipLost(term: Term, reason: ResignationReason): void {
		this.options.ports.log.info({ term, reason }, "leadership lost");
		this.beginning = null;
		this.current?.end();
		this.current = null;
	}

	private stillBeginning(term: Term): boolean {
		return this.beginning === term && this.options.leadership.currentTerm === term;
	}

	private begin(term: Term): void {
		const { machineTypes, replicaSync, ports } = this.options;
		if (!this.stillBeginning(term)) return;
		if (machineTypes.types === null) {
			this.retryBegin(term, machineTypesRetryMs);
			return;
		}
		const { types } = machineTypes;
		replicaSync.readBarrier().then(
			() =>
				ports.post(() => {
					if (!this.stillBeginning(term)) return;
					this.beginning = null;
					this.startLeader(term, types);
				}),
			() => this.retryBegin(term, readBarrierRetryMs),
		);
	}

	private retryBegin(term: Term, delayMs: number): void {
		const { clock, post } = this.options.ports;
		clock.after(delayMs, () => post(() => this.begin(term)));
	}

	private startLeader(term: Term, types: NonNullable<MachineTypeCatalog["types"]>): void {
		const { platform, operator, incarnation, leadership, replica, replicaSync, teamQuota, ports } =
			this.options;
		this.current = createLeader({
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
		this.current.begin();
		this.options.onTermBegun(term);
	}
}
