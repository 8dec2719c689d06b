/**
 * A controller process as a version up to 0.8.0 sends and reads the messages of heartbeat forwarding: it numbers the
 * heartbeats that it forwards from 1, and neither names its process nor reads the names of others.
 */

/** A message between controllers in its form on the wire. */
export type PeerMessageOnWire = Record<string, unknown> & { kind: string };
type NumberedRow = [requestId: number, content: unknown];

/** The fields that versions up to 0.8.0 neither send nor read. */
const fieldOfProcess = "process";

/** The name under which a current leader answers a process that a leader of these versions would answer unnamed. */
const anyProcess = "any";

function withoutProcess(message: PeerMessageOnWire): PeerMessageOnWire {
	const { [fieldOfProcess]: _, ...rest } = message;
	return rest as PeerMessageOnWire;
}

/** Converts the messages of one current process from and to those of these versions. */
export class UnnamedProcess {
	/** Numbers on the wire by the request ids of the current process, and the ids by these numbers. */
	private readonly numberById = new Map<number, number>();
	private readonly idByNumber = new Map<number, number>();

	/** Returns the message that a process of these versions sends in place of this one. */
	outgoing(message: PeerMessageOnWire): PeerMessageOnWire {
		if (message.kind !== "reports") return withoutProcess(message);
		const rows = message.reports as NumberedRow[];
		const reports = rows.map(([id, heartbeat]) => [this.numberOf(id), heartbeat]);
		return withoutProcess({ ...message, reports });
	}

	/** Returns the message as a process of these versions reads it. */
	incoming(message: PeerMessageOnWire): PeerMessageOnWire {
		// A leader of these versions answers every process, and asks every controller to forward.
		if (message.kind === "reports" || message.kind === "pong")
			return { ...message, [fieldOfProcess]: anyProcess };
		if (message.kind !== "answers") return message;
		const rows = message.answers as NumberedRow[];
		const answers = rows
			.filter(([number]) => this.idByNumber.has(number))
			.map(([number, commands]) => [this.idByNumber.get(number), commands]);
		return withoutProcess({ ...message, answers });
	}

	private numberOf(id: number): number {
		const known = this.numberById.get(id);
		if (known !== undefined) return known;
		const number = this.numberById.size + 1;
		this.numberById.set(id, number);
		this.idByNumber.set(number, id);
		return number;
	}
}
