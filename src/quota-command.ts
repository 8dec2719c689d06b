/** `ramphub quota`: operators read and change teams' limits directly in the state service. */

import { Command, InvalidArgumentError } from "commander";
import {
	LimitChangeError,
	type LimitRequest,
	limitAmount,
	type QuotaStore,
	type ShownTeam,
	setQuota,
	showQuotas,
	UnknownTeamError,
	WriteConflictError,
} from "#team-quota";
import { CallError } from "./coordination/ports/call-error.js";
import type { Clock } from "./coordination/ports/clock.js";
import type { KeyValueStore } from "./coordination/ports/store.js";
import { keys } from "./protocol/records/keys.js";
import { decodeStoredRecord } from "./protocol/records/stored-record.js";
import { defaultOperatorSettings, parseOperatorSettings } from "./protocol/settings/operator.js";
import { parsePlatformSettings } from "./protocol/settings/platform.js";
import { readSettingsFile } from "./protocol/settings/settings-file.js";
import { quotaStore } from "./team-quota.js";
import { HttpClient } from "./transport/clients/http-client.js";
import { StoreClient } from "./transport/clients/store-client.js";

/** Thrown if the command fails. Exit code 2: the request is refused; 1: the state service fails, or writes conflict. */
export class QuotaCommandError extends Error {
	constructor(
		message: string,
		readonly exitCode: 1 | 2,
	) {
		super(message);
	}
}

const maxConnections = 4;

interface CommandOptions {
	config: string;
	operator?: string;
	json?: boolean;
}

interface SetOptions extends CommandOptions, LimitRequest {}

/** Parses a number of CPUs or accelerators, or "none" for no limit. */
export function parseUnits(text: string): number {
	if (text === "none") return Number.POSITIVE_INFINITY;
	const value = Number(text);
	if (text.trim() === "" || !Number.isFinite(value) || value < 0)
		throw new InvalidArgumentError('expected a number of 0 or more, or "none"');
	return value;
}

/** Returns the command with its subcommands `show` and `set`. */
export function quotaCommand(clock: Clock): Command {
	const quota = new Command("quota").description("Shows and changes teams' limits.").exitOverride();
	const withCommonOptions = (command: Command) =>
		command
			.requiredOption("--config <file>", "the platform's settings (TOML)")
			.option("--operator <file>", "operators' own settings (YAML)")
			.option("--json", "print JSON")
			.exitOverride();
	withCommonOptions(quota.command("show [team]"))
		.description("Limits, allotments, who holds them, what is pending and why.")
		.action((team: string | undefined, options: CommandOptions) => run(() => show(clock, options, team)));
	withCommonOptions(quota.command("set <team>"))
		.description("Changes a team's limit or guarantee; what is not named stays.")
		.option("--cpus <number>", 'the limit, "none" for no limit', parseUnits)
		.option("--gpus <number>", "the limit of accelerators", parseUnits)
		.option("--guaranteed-cpus <number>", "the guarantee", parseUnits)
		.option("--guaranteed-gpus <number>", "the guarantee of accelerators", parseUnits)
		.action((team: string, options: SetOptions) => run(() => set(clock, options, team)));
	return quota;
}

async function run(action: () => Promise<string>): Promise<void> {
	try {
		process.stdout.write(`${await action()}\n`);
	} catch (error) {
		if (error instanceof UnknownTeamError || error instanceof LimitChangeError)
			throw new QuotaCommandError(error.message, 2);
		if (error instanceof WriteConflictError) throw new QuotaCommandError(error.message, 1);
		if (error instanceof CallError)
			throw new QuotaCommandError(`the state service does not answer: ${error.message}`, 1);
		throw error;
	}
}

function connect(clock: Clock, options: CommandOptions): KeyValueStore {
	const { cluster, endpoints } = parsePlatformSettings(options.config, readSettingsFile(options.config));
	return new StoreClient({
		http: new HttpClient(endpoints.state, maxConnections),
		clock,
		requestsPerS: cluster.state.rps,
		writesPerS: cluster.state.write_rps,
		controllers: 1,
	});
}

async function show(clock: Clock, options: CommandOptions, team: string | undefined): Promise<string> {
	const shown = await showQuotas(quotaStore(connect(clock, options)), keys.quota, team);
	if (options.json) return JSON.stringify(shown, null, 2);
	const faults = shown.faults.map(({ key, team: name, fault }) => `unreadable: ${key} ${name}: ${fault}`);
	return [...shown.teams.map(describeTeam), ...faults].join("\n");
}

async function set(clock: Clock, options: SetOptions, team: string): Promise<string> {
	const { cpus, gpus, guaranteedCpus, guaranteedGpus } = options;
	const request: LimitRequest = { cpus, gpus, guaranteedCpus, guaranteedGpus };
	if (Object.values(request).every((value) => value === undefined))
		throw new QuotaCommandError("name a limit or a guarantee to change", 2);
	const store = connect(clock, options);
	const capacity = await maxCapacity(store, options);
	const quotas: QuotaStore = quotaStore(store);
	const shown = await setQuota(quotas, keys.quota, team, request, clock.date().getTime(), capacity);
	return options.json ? JSON.stringify(shown, null, 2) : describeTeam(shown);
}

/**
 * Returns the capacity of as many machines as operators allow, of the largest type, or null if operators
 * set no bound or the machine types are unknown.
 */
async function maxCapacity(store: KeyValueStore, options: CommandOptions) {
	const operator =
		options.operator === undefined
			? defaultOperatorSettings()
			: await parseOperatorSettings(options.operator, readSettingsFile(options.operator));
	const machines = operator.climb.most_machines;
	if (machines === 0) return null;
	const { row } = await store.read(keys.machineTypes);
	const record = row ? decodeStoredRecord(keys.machineTypes, row.value) : null;
	if (record?.kind !== "machine types") return null;
	const largest = (dimension: "cpus" | "gpus") => Math.max(0, ...record.value.map((type) => type[dimension]));
	return limitAmount(machines * largest("cpus"), machines * largest("gpus"));
}

function describeTeam(team: ShownTeam): string {
	const units = ({ cpus, gpus }: { cpus: number | null; gpus: number | null }) =>
		`${cpus ?? "none"} CPUs, ${gpus ?? "none"} accelerators`;
	const lines = [
		`${team.team}: limit ${units(team.limit)}; guarantee ${units(team.guarantee)}; revision ${team.revision}`,
	];
	if (team.pending) {
		const { limit, revision, requestedAt, why } = team.pending;
		lines.push(`  pending since ${requestedAt}: limit ${units(limit)}, revision ${revision}; ${why}`);
	}
	for (const { node, process, amount, reclaiming, reason } of team.allotments) {
		const recalled = reason === null ? "" : `; being reclaimed: ${units(reclaiming)} (${reason})`;
		lines.push(`  ${node} (process ${process}): ${units(amount)}${recalled}`);
	}
	lines.push(`  held by nobody: ${units(team.unallotted)}`);
	return lines.join("\n");
}
