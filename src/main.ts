#!/usr/bin/env node
/** The command line: runs a controller, checks its settings, or shows and changes team quotas. */

import { Command, CommanderError } from "commander";
import { SettingsError } from "./protocol/errors.js";
import { defaultOperatorSettings, parseOperatorSettings } from "./protocol/settings/operator.js";
import { parsePlatformSettings } from "./protocol/settings/platform.js";
import { readSettingsFile } from "./protocol/settings/settings-file.js";
import { QuotaCommandError, quotaCommand } from "./quota-command.js";
import { serve } from "./serve.js";
import { systemClock } from "./system-clock.js";
import { version } from "./version.js";

/** Exit codes other than 0: a failure at run time, and invalid options or settings. */
const exitFailure = 1;
const exitUsage = 2;

interface CommandLineOptions {
	config: string;
	operator?: string;
	check?: boolean;
}

async function main(argv: string[]): Promise<void> {
	const program = new Command("ramphub")
		.description("A cluster scheduler: takes jobs, rents machines and decides what runs where.")
		.option("--config <file>", "the platform's settings (TOML)")
		.option("--operator <file>", "operators' own settings (YAML)")
		.option("--check", "check the settings and exit")
		.version(version)
		.enablePositionalOptions()
		.exitOverride()
		.action(async (options: Partial<CommandLineOptions>) => {
			const { config } = options;
			if (config === undefined) program.error("error: required option '--config <file>' not specified");
			else await checkOrServe({ ...options, config });
		});
	program.addCommand(quotaCommand(systemClock));
	await program.parseAsync(argv);
}

async function checkOrServe(options: CommandLineOptions): Promise<void> {
	const platform = parsePlatformSettings(options.config, readSettingsFile(options.config));
	const operator =
		options.operator === undefined
			? defaultOperatorSettings()
			: await parseOperatorSettings(options.operator, readSettingsFile(options.operator));
	if (options.check) process.stdout.write(`${options.config}: settings are good\n`);
	else await serve(platform, operator);
}

/** Writes the error to standard error and returns the exit code. */
function reportFailure(error: unknown): number {
	// Commander has already printed its message.
	if (error instanceof CommanderError) return error.exitCode === 0 ? 0 : exitUsage;
	process.stderr.write(`ramphub: ${error instanceof Error ? error.message : error}\n`);
	if (error instanceof SettingsError) return exitUsage;
	return error instanceof QuotaCommandError ? error.exitCode : exitFailure;
}

main(process.argv).catch((error: unknown) => process.exit(reportFailure(error)));
