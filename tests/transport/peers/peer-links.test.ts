import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { afterEach, describe, test } from "node:test";
import type { Log } from "../../../src/coordination/ports/log.js";
import { encodeFrame } from "../../../src/transport/peers/frame.js";
import { PeerLinks } from "../../../src/transport/peers/peer-links.js";

const host = "127.0.0.1";
/** Nobody listens there. */
const noAddress = `${host}:1`;

interface Received {
	from: string;
	message: unknown;
}

interface Controller {
	links: PeerLinks;
	received: Received[];
	logged: string[];
}

const open: PeerLinks[] = [];
afterEach(async () => {
	await Promise.all(open.splice(0).map((links) => links.close()));
});

/** A controller with links to others, given by name and address. */
function controller(self: string, peers: Record<string, string>): Controller {
	const received: Received[] = [];
	const logged: string[] = [];
	const note = (_fields: object, message: string) => logged.push(message);
	const log: Log = { error: note, info: note, debug: () => undefined };
	const links = new PeerLinks({
		localNode: self,
		peers: Object.entries(peers).map(([node, addr]) => ({ node, addr })),
		onMessage: (from, message) => received.push({ from, message }),
		log,
	});
	open.push(links);
	return { links, received, logged };
}

/** Waits until a condition holds. */
async function until(condition: () => boolean, what: string): Promise<void> {
	const giveUpAt = performance.now() + 10_000;
	while (!condition()) {
		assert.ok(performance.now() < giveUpAt, what);
		await new Promise((resolve) => setTimeout(resolve, 10));
	}
}

describe("links between controllers", () => {
	test("carry messages in their order, under the name of the sender", async () => {
		const receiver = controller("a", { b: noAddress });
		const port = await receiver.links.listen(host, 0);
		const sender = controller("b", { a: `${host}:${port}` });
		await sender.links.listen(host, 0);
		await until(() => {
			sender.links.send("a", { kind: "probe" });
			return receiver.received.length > 0;
		}, "a link is made");
		receiver.received.length = 0;
		for (let i = 0; i < 100; i++) sender.links.send("a", { i });
		const numbers = () =>
			receiver.received.map(({ message }) => (message as { i?: number }).i).filter((i) => i !== undefined);
		await until(() => numbers().length === 100, "all arrive");
		assert.deepEqual(
			numbers(),
			Array.from({ length: 100 }, (_, i) => i),
		);
		assert.ok(receiver.received.every(({ from }) => from === "b"));
	});

	test("drop messages to a controller that cannot be reached, or that is not known", async () => {
		const sender = controller("b", { a: noAddress });
		await sender.links.listen(host, 0);
		sender.links.send("a", { i: 1 });
		sender.links.send("nobody", { i: 1 });
	});

	test("are made again after the other controller has restarted", async () => {
		const before = controller("a", { b: noAddress });
		const port = await before.links.listen(host, 0);
		const sender = controller("b", { a: `${host}:${port}` });
		await sender.links.listen(host, 0);
		const reaches = (receiver: Controller) => () => {
			sender.links.send("a", { kind: "probe" });
			return receiver.received.length > 0;
		};
		await until(reaches(before), "a link is made");
		await before.links.close();
		const after = controller("a", { b: noAddress });
		await after.links.listen(host, port);
		await until(reaches(after), "a link is made again");
	});

	test("from a process that is not one of the controllers are closed, and said", async () => {
		const receiver = controller("a", { b: noAddress });
		const port = await receiver.links.listen(host, 0);
		for (const first of [{ hello: "stranger" }, { kind: "running" }, 7]) {
			const socket = connect(port, host);
			socket.write(encodeFrame(first));
			// Read, so that the end of the connection is noticed.
			socket.resume();
			await once(socket, "close");
		}
		assert.deepEqual(receiver.received, []);
		assert.deepEqual(receiver.logged, Array(3).fill("peer link closed: bad frame"));
	});

	test("reject an address that cannot be listened on", async () => {
		const first = controller("a", {});
		const port = await first.links.listen(host, 0);
		await assert.rejects(controller("b", {}).links.listen(host, port), { code: "EADDRINUSE" });
	});
});
