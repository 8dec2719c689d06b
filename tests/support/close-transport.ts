/**
 * Run as a separate process by tests/transport/close.test.ts: opens all kinds of servers, links and clients of the
 * transport, closes them while calls are pending, and prints the outcomes of the calls and the remaining resources.
 * The process exits by itself only if no resource keeps its event loop alive.
 */

import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import { HttpClient } from "../../src/transport/clients/http-client.js";
import { PeerLinks } from "../../src/transport/peers/peer-links.js";
import { startPublicServer } from "../../src/transport/public/public-server.js";
import { heartbeatBody } from "./request-bodies.js";
import { silentLog } from "./silent-log.js";
import { stubPublicService } from "./stub-public-service.js";

/** The JSON output of the process. */
export interface CloseReport {
	/** Outcomes of the pending calls: a heartbeat to the closed server, and a call to a store that never responds. */
	heartbeat: string;
	storeCall: string;
	/** Resources that keep the event loop alive, before and after closing. */
	resourcesBefore: string[];
	resourcesAfter: string[];
}

/** Longer than the time for which the parent waits for the process. */
const callTimeoutMs = 60_000;

const host = "127.0.0.1";
const noPeer = `${host}:1`;

function linksOf(self: string, peers: Record<string, string>): PeerLinks {
	const addresses = Object.entries(peers).map(([node, addr]) => ({ node, addr }));
	return new PeerLinks({ localNode: self, peers: addresses, onMessage: () => undefined, log: silentLog });
}

function outcomeOf(call: Promise<unknown>): Promise<string> {
	return call.then(
		() => "response",
		(error: Error) => error.message,
	);
}

/** Excludes standard output (a pipe or a terminal), which is open before and after. */
function resources(): string[] {
	return process.getActiveResourcesInfo().filter((kind) => kind !== "PipeWrap" && kind !== "TTYWrap");
}

async function run(): Promise<CloseReport> {
	const server = await startPublicServer({
		// Heartbeats never get a response.
		service: { ...stubPublicService, handleHeartbeat: () => new Promise(() => undefined) },
		log: silentLog,
		host,
		port: 0,
		maxConnections: 10,
	});
	const first = linksOf("a", { b: noPeer, c: noPeer });
	const firstPort = await first.listen(host, 0);
	const second = linksOf("b", { a: `${host}:${firstPort}`, c: noPeer });
	await second.listen(host, 0);
	const client = new HttpClient(`${host}:${server.port}`, 2);
	await client.call("GET", "/ready", undefined, 5000);
	const heartbeat = outcomeOf(client.call("POST", "/v1/report", heartbeatBody(), callTimeoutMs));
	const silent = createServer((socket) => socket.resume()).listen(0, host);
	await once(silent, "listening");
	const store = new HttpClient(`${host}:${(silent.address() as AddressInfo).port}`, 2);
	const storeCall = outcomeOf(store.call("GET", "/store/a", undefined, callTimeoutMs));
	await new Promise((resolve) => setTimeout(resolve, 100));
	const resourcesBefore = resources();
	await Promise.all([server.close(), first.close(), second.close()]);
	client.close();
	store.close();
	// Resolves only once the client has closed its connection.
	await new Promise((resolve) => silent.close(resolve));
	const report = { heartbeat: await heartbeat, storeCall: await storeCall, resourcesBefore };
	// Handles that are closing are gone at the end of a turn of the event loop.
	for (let turn = 0; turn < 2; turn++) await new Promise((resolve) => setImmediate(resolve));
	return { ...report, resourcesAfter: resources() };
}

process.stdout.write(JSON.stringify(await run()));
