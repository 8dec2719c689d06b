import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { afterEach, describe, test } from "node:test";
import type { Log } from "../../../src/coordination/ports/log.js";
import { encodeFrame } from "../../../src/transport/peers/frame.js";
import { PeerLinks } from "../../../src/transport/peers/peer-links.js";

const host = "127.0.0.1";
/** An address without a listener. */
const unreachableAddress = `${host}:1`;

interface Received {
	from: string;
	message: unknown;
}

interface Controller {
	links: PeerLinks;
	received: Received[];
	logged: string[];
}

const openLinks: PeerLinks[] = [];
afterEach(async () => {
	await Promise.all(openLinks.splice(0).map((links) => links.close()));
});

/** Creates the links of a controller to others, given by name and address. */
function controller(localNode: string, peers: Record<string, string>): Controller {
	const received: Received[] = [];
	const logged: string[] = [];
	const recordMessage = (_fields: object, message: string) => logged.push(message);
	const log: Log = { error: recordMessage, info: recordMessage, debug: () => undefined };
	const links = new PeerLinks({
		localNode,
		peers: Object.entries(peers).map(([node, addr]) => ({ node, addr })),
		onMessage: (from, message) => received.push({ from, message }),
		log,
	});
	openLinks.push(links);
	return { links, received, logged };
}

/** Waits until a condition holds. */
async function waitUntil(condition: () => boolean, description: string): Promise<void> {
	const deadlineAt = performance.now() + 10_000;
	while (!condition()) {
		assert.ok(performance.now() < deadlineAt, description);
		await new Promise((resolve) => setTimeout(resolve, 10));
	}
}

describe("links between controllers", () => {
	test("deliver messages in order, with the name of the sender", async () => {
		const receiver = controller("a", { b: unreachableAddress });
		const port = await receiver.links.listen(host, 0);
		const sender = controller("b", { a: `${host}:${port}` });
		await sender.links.listen(host, 0);
		await waitUntil(() => {
			sender.links.send("a", { kind: "probe" });
			return receiver.received.length > 0;
		}, "a link is made");
		receiver.received.length = 0;
		for (let i = 0; i < 100; i++) sender.links.send("a", { i });
		const numbers = () =>
			receiver.received.map(({ message }) => (message as { i?: number }).i).filter((i) => i !== undefined);
		await waitUntil(() => numbers().length === 100, "all arrive");
		assert.deepEqual(
			numbers(),
			Array.from({ length: 100 }, (_, i) => i),
		);
		assert.ok(receiver.received.every(({ from }) => from === "b"));
	});

	test("drop messages to an unreachable controller and to an unknown one", async () => {
		const sender = controller("b", { a: unreachableAddress });
		await sender.links.listen(host, 0);
		sender.links.send("a", { i: 1 });
		sender.links.send("nobody", { i: 1 });
	});

	test("are established again after a restart of the other controller", async () => {
		const before = controller("a", { b: unreachableAddress });
		const port = await before.links.listen(host, 0);
		const sender = controller("b", { a: `${host}:${port}` });
		await sender.links.listen(host, 0);
		const reaches = (receiver: Controller) => () => {
			sender.links.send("a", { kind: "probe" });
			return receiver.received.length > 0;
		};
		await waitUntil(reaches(before), "a link is made");
		await before.links.close();
		const after = controller("a", { b: unreachableAddress });
		await after.links.listen(host, port);
		await waitUntil(reaches(after), "a link is made again");
	});

	test("from a process that is not a controller are closed and logged", async () => {
		const receiver = controller("a", { b: unreachableAddress });
		const port = await receiver.links.listen(host, 0);
		for (const first of [{ hello: "stranger" }, { kind: "running" }, 7]) {
			const socket = connect(port, host);
			socket.write(encodeFrame(first));
			// Reads the socket, so that the end of the connection is detected.
			socket.resume();
			await once(socket, "close");
		}
		assert.deepEqual(receiver.received, []);
		assert.deepEqual(receiver.logged, Array(3).fill("peer link closed: bad frame"));
	});

	test("reject an address that is already in use", async () => {
		const first = controller("a", {});
		const port = await first.links.listen(host, 0);
		await assert.rejects(controller("b", {}).links.listen(host, port), { code: "EADDRINUSE" });
	});
});
