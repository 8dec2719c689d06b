/** Framing of the byte streams between controllers: four bytes of length, then a message in CBOR. */

import { Decoder, Encoder } from "cbor-x";
import { MalformedMessageError } from "../../protocol/errors.js";

const headerBytes = 4;

/** No message is nearly as long: a longer frame is a stream of something else. */
const maxFrameBytes = 4 * 1024 * 1024;

// Without records every message can be read by itself, as the versions in production do.
const encoder = new Encoder({ useRecords: false });
const decoder = new Decoder({ useRecords: false });

/** The frame of one message. */
export function encodeFrame(message: unknown): Buffer {
	const body = encoder.encode(message);
	const header = Buffer.allocUnsafe(headerBytes);
	header.writeUInt32BE(body.length, 0);
	return Buffer.concat([header, body]);
}

/** Splits the byte stream of one connection into messages. Holds the bytes of a frame that is not complete. */
export class FrameReader {
	private chunks: Buffer[] = [];
	private bufferedBytes = 0;

	/**
	 * Takes the next part of the stream and returns the messages that it completes. Throws for a frame that is
	 * longer than any message, and for one that is not CBOR; the stream cannot be read any further then.
	 */
	push(chunk: Buffer): unknown[] {
		this.chunks.push(chunk);
		this.bufferedBytes += chunk.length;
		const messages: unknown[] = [];
		while (this.bufferedBytes >= headerBytes) {
			const buffered = this.joinChunks();
			const bodyBytes = buffered.readUInt32BE(0);
			if (bodyBytes > maxFrameBytes) throw new MalformedMessageError(`frame of ${bodyBytes} bytes`);
			const frameBytes = headerBytes + bodyBytes;
			if (buffered.length < frameBytes) break;
			messages.push(decoder.decode(buffered.subarray(headerBytes, frameBytes)));
			const rest = buffered.subarray(frameBytes);
			this.chunks = rest.length > 0 ? [rest] : [];
			this.bufferedBytes = rest.length;
		}
		return messages;
	}

	private joinChunks(): Buffer {
		const [first] = this.chunks;
		const joined = first && this.chunks.length === 1 ? first : Buffer.concat(this.chunks);
		this.chunks = [joined];
		return joined;
	}
}
