/** Connects team quota to the state service, the clock and the settings of the platform and of operators. */

import { limitAmount, QuotaParticipant, QuotaService, type QuotaStore, type StoredChange } from "#team-quota";
import type { Clock } from "./coordination/ports/clock.js";
import type { Log } from "./coordination/ports/log.js";
import type { KeyValueStore } from "./coordination/ports/store.js";
import type { TeamQuotaPort } from "./coordination/ports/team-quota.js";
import { keys } from "./protocol/records/keys.js";
import type { OperatorSettings } from "./protocol/settings/operator.js";
import type { PlatformSettings } from "./protocol/settings/platform.js";

/** Maximum size of written values, relative to the largest value that the state service accepts. */
const maxValueFraction = 0.8;

/** Adapts the state service to the interface that the package uses. */
export function quotaStore(store: KeyValueStore): QuotaStore {
	return {
		read: async (key) => {
			const { row } = await store.read(key);
			return row && { key, value: row.value, revision: row.revision };
		},
		readPrefix: async (prefix) => {
			const { rows } = await store.readPrefix(prefix);
			return rows.map(({ key, value, revision }) => ({ key, value, revision }));
		},
		transact: async (conditions, changes) => {
			const puts = changes.map(({ key, value }: StoredChange) => ({ put: key, value }));
			const result = await store.compareAndSwap(conditions, puts, "normal");
			return result.swapped
				? { kind: "written", revision: result.revision }
				: { kind: "conflict", keys: result.conflicts };
		},
	};
}

/** Dependencies and settings of team quota in this process. */
export interface TeamQuotaDependencies {
	platform: PlatformSettings;
	operator: OperatorSettings;
	/** Identifies this process among all processes of the node. */
	incarnation: string;
	store: KeyValueStore;
	clock: Clock;
	log: Log;
	post(command: () => void): void;
}

/** Returns null if operators have disabled team quota. */
export function createTeamQuota(dependencies: TeamQuotaDependencies): TeamQuotaPort | null {
	const { platform, operator, incarnation, store, clock: time, log, post } = dependencies;
	const settings = operator.team_quota;
	if (!settings.enabled) return null;
	const { teams, state } = platform.cluster;
	const participant = new QuotaParticipant({
		node: platform.node,
		incarnation,
		nodes: [platform.node, ...platform.others.map(({ node }) => node)].sort(),
		teams: new Map(
			teams.map((team) => [
				team.name,
				{
					limit: limitAmount(team.limit.cpus, team.limit.gpus),
					guarantee: limitAmount(team.guaranteed.cpus, team.guaranteed.gpus),
				},
			]),
		),
		settings: {
			expiryMs: settings.expiry_s * 1000,
			marginMs: settings.margin_s * 1000,
			movePauseMs: settings.move_pause_s * 1000,
		},
		keyPrefix: keys.quota,
		maxValueBytes: Math.floor(state.value_kb * 1024 * maxValueFraction),
		maxChangesPerTransaction: state.txn_ops,
		store: quotaStore(store),
		now: () => time.now(),
		date: () => time.date().getTime(),
		post,
		log,
	});
	return new QuotaService(participant, keys.leader);
}
