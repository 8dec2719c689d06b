/** Runs a controller in this process, connected to the network, the clocks and the log, until a signal stops it. */

import { randomBytes } from "node:crypto";
import { type Logger, pino } from "pino";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Controller } from "./coordination/controller.js";
import { createController } from "./coordination/controller-composition.js";
import type { OperatorSettings } from "./protocol/settings/operator.js";
import type { PlatformSettings } from "./protocol/settings/platform.js";
import { systemClock } from "./system-clock.js";
import { systemMemory } from "./system-memory.js";
import { createTeamQuota } from "./team-quota.js";
import { parseAddress } from "./transport/address.js";
import { CloudClient } from "./transport/clients/cloud-client.js";
import { HttpClient } from "./transport/clients/http-client.js";
import { StoreClient } from "./transport/clients/store-client.js";
import { WorkerClient } from "./transport/clients/worker-client.js";
import { PeerLinks } from "./transport/peers/peer-links.js";
import { startPublicServer } from "./transport/public/public-server.js";
import type { PublicService } from "./transport/public/public-service.js";
import { version } from "./version.js";

const logLevels = ["fatal", "error", "warn", "info", "debug", "trace", "silent"];
const defaultLogLevel = "info";
const standardErrorFd = 2;

const maxStoreConnections = 40;
const maxCloudConnections = 8;

/**
 * The fraction of the process's file descriptor limit that connections of users and workers may use, before the
 * reserved sockets are subtracted.
 */
const publicSocketsFraction = 0.8;
/** Sockets reserved for the store, the cloud, direct commands and the other controllers. */
const reservedSockets = 60;
const minPublicSockets = 16;

/** The process exits this long after a stop signal, even if connections are still open. */
const exitDelayMs = 200;

/** Starts a controller and resolves once it listens. The process then runs until SIGTERM or SIGINT. */
export async function serve(platform: PlatformSettings, operator: OperatorSettings): Promise<void> {
	const log = createLog(platform.node);
	logUncaughtErrors(log);
	const peers = new PeerLinks({
		localNode: platform.node,
		peers: platform.others,
		onMessage: (from, message) => controller.receivePeerMessage(from, message),
		log,
	});
	const controller = buildController(platform, operator, peers, log);
	const server = await startPublicServer({
		service: createPublicService(controller),
		log,
		...parseAddress(platform.front),
		maxConnections: maxPublicConnections(platform),
	});
	const peerAddress = parseAddress(platform.back);
	await peers.listen(peerAddress.host, peerAddress.port);
	controller.start();
	log.info({ front: platform.front, back: platform.back, version }, "controller started");

	const shutDown = () => {
		log.info({}, "controller stopping");
		controller.stop();
		void server.close();
		void peers.close();
		setTimeout(() => process.exit(0), exitDelayMs);
	};
	process.once("SIGTERM", shutDown);
	process.once("SIGINT", shutDown);
}

function createLog(node: string): Logger {
	const level = process.env.LOG_LEVEL ?? defaultLogLevel;
	return pino(
		{ level: logLevels.includes(level) ? level : defaultLogLevel, base: { node } },
		pino.destination({ fd: standardErrorFd, sync: true }),
	);
}

/** Logs uncaught errors, because a fault in one request or response must not end the process. */
function logUncaughtErrors(log: Logger): void {
	process.on("uncaughtException", (error) => log.error({ err: error }, "uncaught exception"));
	process.on("unhandledRejection", (reason) => log.error({ err: reason }, "unhandled promise rejection"));
}

function buildController(
	platform: PlatformSettings,
	operator: OperatorSettings,
	peers: PeerLinks,
	log: Logger,
): Controller {
	const { cluster, endpoints } = platform;
	const incarnation = randomBytes(6).toString("hex");
	const seed = randomBytes(4).readInt32LE(0);
	const store = new StoreClient({
		http: new HttpClient(endpoints.state, maxStoreConnections),
		clock: systemClock,
		requestsPerS: cluster.state.rps,
		writesPerS: cluster.state.write_rps,
		controllers: platform.others.length + 1,
	});
	const ports = {
		store,
		cloud: new CloudClient(
			new HttpClient(endpoints.cloud, maxCloudConnections),
			systemClock,
			cluster.cloud.rps,
		),
		workers: new WorkerClient(),
		peers,
		clock: systemClock,
		memory: systemMemory,
		log,
		random: xoroshiro128plus(seed),
		schedule: setImmediate,
		createTeamQuota: (post: (action: () => void) => void) =>
			createTeamQuota({ platform, operator, incarnation, store, clock: systemClock, log, post }),
	};
	return createController({ platform, operator, incarnation, ports });
}

function createPublicService(controller: Controller): PublicService {
	return {
		submit: (spec) => controller.jobs.submit(spec),
		status: (id) => controller.jobs.status(id),
		cancel: (id) => controller.jobs.cancel(id),
		handleHeartbeat: (heartbeat) => controller.handleHeartbeat(heartbeat),
		ready: () => controller.ready(),
	};
}

function maxPublicConnections({ cluster }: PlatformSettings): number {
	const sockets = Math.floor(cluster.resources.fd_limit * publicSocketsFraction) - reservedSockets;
	return Math.max(minPublicSockets, sockets);
}
