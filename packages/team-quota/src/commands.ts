/** The operators' commands that show and change limits. */

import { type Amount, addAmounts, toUnits, zeroAmount } from "./amount.js";
import { changeLimit, LimitChangeError, type LimitRequest } from "./limit-change.js";
import { packValue, unpackValue } from "./packed-record.js";
import { type LimitAndGuarantee, type QuotaRecord, totalAllotted, unallotted } from "./record.js";
import type { QuotaRow, QuotaStore } from "./stored-values.js";

/** The operations of `ramphub quota`. They use only the state service, no controller. */

interface ShownAmount {
	/** null: no limit. */
	cpus: number | null;
	gpus: number | null;
}

interface ShownLimitAndGuarantee {
	limit: ShownAmount;
	guarantee: ShownAmount;
}

/** Printed as JSON by `ramphub quota show --json`, as are the types around it: the field names are fixed. */
export interface ShownAllotment {
	node: string;
	/** Incarnation of the process that holds the allotment. */
	process: string;
	amount: ShownAmount;
	/** Part of the amount that is being reclaimed from the holder, and why. */
	reclaiming: ShownAmount;
	reason: string | null;
}

/** A team in the output of `quota show`; amounts in CPUs and accelerators. */
export interface ShownTeam extends ShownLimitAndGuarantee {
	team: string;
	revision: number;
	allotted: ShownAmount;
	unallotted: ShownAmount;
	/** A lower limit that is not in force yet, and why not. */
	pending: (ShownLimitAndGuarantee & { revision: number; requestedAt: string; why: string }) | null;
	allotments: ShownAllotment[];
}

/** Thrown if the state service holds no record of the team. */
export class UnknownTeamError extends Error {}

/** Thrown if every attempt to write conflicted with another write. */
export class WriteConflictError extends Error {}

const maxAttempts = 8;

function shownAmount({ cpus, gpus }: Amount): ShownAmount {
	const shownUnits = (value: number) => (Number.isFinite(toUnits(value)) ? toUnits(value) : null);
	return { cpus: shownUnits(cpus), gpus: shownUnits(gpus) };
}

function shownLimitAndGuarantee({ limit, guarantee }: LimitAndGuarantee): ShownLimitAndGuarantee {
	return { limit: shownAmount(limit), guarantee: shownAmount(guarantee) };
}

/** Returns a record in CPUs and accelerators, as text and JSON output show it. */
export function shownTeam(record: QuotaRecord): ShownTeam {
	const { team, revision, inForce, pending, allotments } = record;
	return {
		team,
		revision,
		...shownLimitAndGuarantee(inForce),
		allotted: shownAmount(totalAllotted(record)),
		unallotted: shownAmount(unallotted(record)),
		pending: pending && {
			revision: pending.revision,
			requestedAt: new Date(pending.requestedAt).toISOString(),
			...shownLimitAndGuarantee(pending),
			why: "controllers still hold more than the new limit: their tasks end, or are stopped, first",
		},
		allotments: allotments.map(({ node, incarnation, amount, reclaiming, reason }) => ({
			node,
			process: incarnation,
			amount: shownAmount(amount),
			reclaiming: shownAmount(reclaiming),
			reason,
		})),
	};
}

/** The output of `quota show`. */
export interface ShownQuotas {
	teams: ShownTeam[];
	/** Records that cannot be read. */
	faults: { key: string; team: string; fault: string }[];
}

/** Returns the records of all teams, or of the given one. */
export async function showQuotas(store: QuotaStore, prefix: string, team?: string): Promise<ShownQuotas> {
	const shown: ShownQuotas = { teams: [], faults: [] };
	for (const { key, value } of await store.readPrefix(prefix)) {
		const { records, faults } = unpackValue(value);
		for (const record of records.values())
			if (team === undefined || record.team === team) shown.teams.push(shownTeam(record));
		shown.faults.push(...faults.map((fault) => ({ key, ...fault })));
	}
	shown.teams.sort((a, b) => (a.team < b.team ? -1 : 1));
	if (team !== undefined && shown.teams.length === 0) throw unknownTeam(team);
	return shown;
}

function unknownTeam(team: string): UnknownTeamError {
	return new UnknownTeamError(`there is no record of team "${team}": is team quota switched on?`);
}

interface FoundRecord {
	row: QuotaRow;
	records: Map<string, QuotaRecord>;
	record: QuotaRecord;
	/** Sum of the other teams' guarantees. */
	otherGuarantees: Amount;
}

async function findRecord(store: QuotaStore, prefix: string, team: string): Promise<FoundRecord> {
	let found: Omit<FoundRecord, "otherGuarantees"> | null = null;
	let otherGuarantees = zeroAmount;
	for (const row of await store.readPrefix(prefix)) {
		const { records, faults } = unpackValue(row.value);
		const record = records.get(team);
		if (record && faults.length > 0)
			throw new LimitChangeError(`"${row.key}" holds records that cannot be read: ${faults[0]?.fault}`);
		if (record) found = { row, records, record };
		for (const other of records.values())
			if (other.team !== team)
				otherGuarantees = addAmounts(otherGuarantees, (other.pending ?? other.inForce).guarantee);
	}
	if (!found) throw unknownTeam(team);
	return { ...found, otherGuarantees };
}

/** Changes a team's limit or guarantee and returns the new record. */
export async function setQuota(
	store: QuotaStore,
	prefix: string,
	team: string,
	request: LimitRequest,
	date: number,
	capacity: Amount | null = null,
): Promise<ShownTeam> {
	for (let attempt = 0; attempt < maxAttempts; attempt++) {
		const { row, records, record, otherGuarantees } = await findRecord(store, prefix, team);
		const next = changeLimit(record, request, date, otherGuarantees, capacity);
		records.set(team, next);
		const result = await store.transact(
			[{ key: row.key, revision: row.revision }],
			[{ key: row.key, value: packValue(records.values()) }],
		);
		if (result.kind === "written") return shownTeam(next);
	}
	throw new WriteConflictError("the records were changed by others again and again; try again");
}
