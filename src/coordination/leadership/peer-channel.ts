import { MalformedMessageError } from "../../protocol/checks.js";
import { claimedKind, type PeerMessage, parsePeerMessage } from "../../protocol/peer/messages.js";
import type { Log } from "../ports/log.js";

/** More senders and kinds of malformed messages than this are not told apart. */
const malformedKept = 200;

/** Checks what other controllers send. What cannot be read is left out and logged once for each sender and kind. */
export class PeerMessageReader {
	private readonly malformedFrom = new Set<string>();

	constructor(private readonly log: Log) {}

	/** null: it cannot be used. */
	read(from: string, raw: unknown): PeerMessage | null {
		try {
			return parsePeerMessage(raw);
		} catch (error) {
			if (!(error instanceof MalformedMessageError)) throw error;
			this.note(from, claimedKind(raw), error);
			return null;
		}
	}

	/** Such messages come in numbers. */
	private note(from: string, kind: string, error: MalformedMessageError): void {
		const source = `${from}/${kind}`;
		if (this.malformedFrom.has(source)) return;
		if (this.malformedFrom.size < malformedKept) this.malformedFrom.add(source);
		this.log.error({ from, kind, err: error.message }, "malformed message from a controller");
	}
}
