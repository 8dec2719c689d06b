import { connect, createServer, type Server, type Socket } from "node:net";
import { Decoder, Encoder } from "cbor-x";
import type { Log } from "../coordination/ports/log.js";
import type { PeerTransport } from "../coordination/ports/peers.js";

const maxFrame = 4 * 1024 * 1024;
const maxQueued = 2 * 1024 * 1024;
const dialMs = 1000;
const idleMs = 30_000;

const encoder = new Encoder({ useRecords: false });
const decoder = new Decoder({ useRecords: false });

/** Frames of four bytes of length and a CBOR body. */
export function frame(message: unknown): Buffer {
	const body = encoder.encode(message);
	const head = Buffer.allocUnsafe(4);
	head.writeUInt32BE(body.length, 0);
	return Buffer.concat([head, body]);
}

/** Splits a byte stream into messages; throws on frames beyond the bound. */
export class FrameReader {
	private chunks: Buffer[] = [];
	private held = 0;

	push(chunk: Buffer): unknown[] {
		this.chunks.push(chunk);
		this.held += chunk.length;
		const messages: unknown[] = [];
		while (this.held >= 4) {
			const joined = this.chunks.length === 1 ? (this.chunks[0] as Buffer) : Buffer.concat(this.chunks);
			this.chunks = [joined];
			const size = joined.readUInt32BE(0);
			if (size > maxFrame) throw new Error(`frame of ${size} bytes`);
			if (joined.length < 4 + size) break;
			messages.push(decoder.decode(joined.subarray(4, 4 + size)));
			const rest = joined.subarray(4 + size);
			this.chunks = rest.length > 0 ? [rest] : [];
			this.held = rest.length;
		}
		return messages;
	}
}

interface Peer {
	node: string;
	host: string;
	port: number;
	socket: Socket | null;
	ready: boolean;
	nextDial: number;
	failures: number;
}

/**
 * Links between controllers. Each node dials every other one and sends on the
 * link it dialled; it reads from those it accepted. A peer that hangs only
 * fills its own queue, which is then dropped with the link.
 */
export class PeerLinks implements PeerTransport {
	private readonly peers = new Map<string, Peer>();
	private readonly accepted = new Set<Socket>();
	private server: Server | null = null;
	private timer: NodeJS.Timeout | null = null;

	constructor(
		private readonly self: string,
		others: { node: string; addr: string }[],
		private readonly receive: (from: string, message: unknown) => void,
		private readonly log: Log,
	) {
		for (const other of others) {
			const at = other.addr.lastIndexOf(":");
			this.peers.set(other.node, {
				node: other.node,
				host: other.addr.slice(0, at),
				port: Number(other.addr.slice(at + 1)),
				socket: null,
				ready: false,
				nextDial: 0,
				failures: 0,
			});
		}
	}

	async listen(host: string, port: number): Promise<number> {
		const server = createServer((socket) => this.accept(socket));
		this.server = server;
		server.maxConnections = 4 * (this.peers.size + 1);
		await new Promise<void>((resolve, reject) => {
			server.once("error", reject);
			server.listen(port, host, resolve);
		});
		server.on("error", (error) => this.log.error({ err: error.message }, "peer listener failed"));
		this.timer = setInterval(() => this.dialAll(), 250);
		this.dialAll();
		const address = server.address();
		return typeof address === "object" && address ? address.port : port;
	}

	private accept(socket: Socket): void {
		this.accepted.add(socket);
		const reader = new FrameReader();
		let from: string | null = null;
		socket.setNoDelay(true);
		// A link from which nothing comes any more is given up: its far end is gone or cut off.
		socket.setTimeout(idleMs, () => socket.destroy());
		socket.on("error", () => {});
		socket.on("close", () => this.accepted.delete(socket));
		socket.on("data", (chunk) => {
			try {
				for (const message of reader.push(chunk)) {
					if (from === null) {
						const hello = message as { hello?: unknown };
						if (typeof hello?.hello !== "string" || !this.peers.has(hello.hello)) {
							throw new Error("not a known controller");
						}
						from = hello.hello;
					} else this.receive(from, message);
				}
			} catch (error) {
				this.log.info({ from, err: (error as Error).message }, "peer link closed: bad frame");
				socket.destroy();
			}
		});
	}

	private dialAll(): void {
		const now = performance.now();
		for (const peer of this.peers.values()) {
			if (peer.socket === null && now >= peer.nextDial) this.dial(peer);
		}
	}

	private dial(peer: Peer): void {
		const socket = connect(peer.port, peer.host);
		peer.socket = socket;
		peer.ready = false;
		const deadline = setTimeout(() => socket.destroy(), dialMs);
		socket.setNoDelay(true);
		socket.on("connect", () => {
			clearTimeout(deadline);
			peer.ready = true;
			peer.failures = 0;
			socket.write(frame({ hello: this.self }));
		});
		socket.on("error", () => {});
		socket.on("data", () => {});
		socket.on("close", () => {
			clearTimeout(deadline);
			if (peer.socket !== socket) return;
			peer.socket = null;
			peer.ready = false;
			peer.failures += 1;
			peer.nextDial = performance.now() + Math.min(2000, 200 * peer.failures);
		});
	}

	send(node: string, message: unknown): void {
		const peer = this.peers.get(node);
		if (!peer?.socket || !peer.ready) return;
		if (peer.socket.writableLength > maxQueued) {
			peer.socket.destroy();
			return;
		}
		peer.socket.write(frame(message));
	}

	close(): void {
		if (this.timer) clearInterval(this.timer);
		for (const peer of this.peers.values()) peer.socket?.destroy();
		for (const socket of this.accepted) socket.destroy();
		this.server?.close();
	}
}
