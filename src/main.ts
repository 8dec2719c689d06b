#!/usr/bin/env node
import { randomBytes } from "node:crypto";
import { Command, CommanderError } from "commander";
import { pino } from "pino";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { Controller } from "./coordination/controller.js";
import type { Clock } from "./coordination/ports/clock.js";
import { SettingsError } from "./protocol/errors.js";
import { defaultOperator, parseOperator } from "./protocol/settings/operator.js";
import { parsePlatform } from "./protocol/settings/platform.js";
import { readSettingsFile } from "./protocol/settings/settings-file.js";
import { QuotaCommandError, quotaCommand } from "./quota-command.js";
import { makeTeamQuota } from "./team-quota.js";
import { CloudClient } from "./transport/clients/cloud-client.js";
import { HttpClient } from "./transport/clients/http-client.js";
import { StoreClient } from "./transport/clients/store-client.js";
import { WorkerClient } from "./transport/clients/worker-client.js";
import { PeerLinks } from "./transport/peers/peer-links.js";
import { startPublicServer } from "./transport/public/public-server.js";
import type { PublicService } from "./transport/public/public-service.js";
import { version } from "./version.js";

const levels = ["fatal", "error", "warn", "info", "debug", "trace", "silent"];

function split(address: string): { host: string; port: number } {
	const at = address.lastIndexOf(":");
	return { host: address.slice(0, at), port: Number(address.slice(at + 1)) };
}

const steadyTime: Clock = {
	now: () => performance.now(),
	date: () => new Date(),
	after: (ms, run) => {
		const timer = setTimeout(run, ms);
		return { cancel: () => clearTimeout(timer) };
	},
};

interface ServeOptions {
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
		.action(async (options: Partial<ServeOptions>) => {
			const { config } = options;
			if (config === undefined) program.error("error: required option '--config <file>' not specified");
			else await serve({ ...options, config });
		});
	program.addCommand(quotaCommand(steadyTime));
	await program.parseAsync(argv);
}

async function serve(options: ServeOptions): Promise<void> {
	const platform = parsePlatform(options.config, readSettingsFile(options.config));
	const operator =
		options.operator === undefined
			? defaultOperator()
			: await parseOperator(options.operator, readSettingsFile(options.operator));
	if (options.check) {
		process.stdout.write(`${options.config}: settings are good\n`);
		return;
	}

	const level = process.env.LOG_LEVEL ?? "info";
	const log = pino(
		{ level: levels.includes(level) ? level : "info", base: { node: platform.node } },
		pino.destination({ fd: 2, sync: true }),
	);
	// A fault in one request or answer must not end the process.
	process.on("uncaughtException", (error) =>
		log.error({ err: error.message, stack: error.stack }, "uncaught exception"),
	);
	process.on("unhandledRejection", (error) =>
		log.error(
			{ err: String(error), stack: error instanceof Error ? error.stack : undefined },
			"unhandled promise rejection",
		),
	);

	const { cluster, endpoints } = platform;
	const seed = randomBytes(4).readInt32LE(0);
	const store = new StoreClient({
		http: new HttpClient(endpoints.state, 40),
		clock: steadyTime,
		requestsPerS: cluster.state.rps,
		writesPerS: cluster.state.write_rps,
		controllers: platform.others.length + 1,
	});
	const peers = new PeerLinks({
		self: platform.node,
		peers: platform.others,
		onMessage: (from, message) => controller.peerMessage(from, message),
		log,
	});
	const incarnation = randomBytes(6).toString("hex");
	const controller = new Controller(platform, operator, incarnation, {
		store,
		cloud: new CloudClient(new HttpClient(endpoints.cloud, 8), steadyTime, cluster.cloud.rps),
		workers: new WorkerClient(),
		peers,
		clock: steadyTime,
		log,
		random: xoroshiro128plus(seed),
		schedule: setImmediate,
		teamQuota: (post) =>
			makeTeamQuota({ platform, operator, incarnation, store, time: steadyTime, log, post }),
	});

	const service: PublicService = {
		submit: (spec) => controller.jobs.submit(spec),
		status: (id) => controller.jobs.status(id),
		cancel: (id) => controller.jobs.cancel(id),
		handleHeartbeat: (report) => controller.handleHeartbeat(report),
		ready: () => controller.ready(),
	};
	const front = split(platform.front);
	const back = split(platform.back);
	// Sockets are kept back for the store, the cloud, workers and the other controllers.
	const sockets = Math.max(16, Math.floor(cluster.resources.fd_limit * 0.8) - 60);
	const server = await startPublicServer({ service, log, ...front, maxConnections: sockets });
	await peers.listen(back.host, back.port);
	controller.start();
	log.info({ front: platform.front, back: platform.back, version: version }, "controller started");

	const stop = () => {
		log.info({}, "controller stopping");
		controller.stop();
		void server.close();
		void peers.close();
		setTimeout(() => process.exit(0), 200);
	};
	process.once("SIGTERM", stop);
	process.once("SIGINT", stop);
}

main(process.argv).catch((error) => {
	if (error instanceof CommanderError) process.exit(error.exitCode === 0 ? 0 : 2);
	if (error instanceof SettingsError) {
		process.stderr.write(`ramphub: ${error.message}\n`);
		process.exit(2);
	}
	process.stderr.write(`ramphub: ${error instanceof Error ? error.message : error}\n`);
	process.exit(error instanceof QuotaCommandError ? error.exitCode : 1);
});
