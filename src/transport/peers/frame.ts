/** Framing of the byte streams between controllers: a length of four bytes, then a message in CBOR. */

import { Decoder, Encoder } from "cbor-x";
import { MalformedMessageError } from "../../protocol/errors.js";

const headerBytes = 4;

/** All messages are much shorter. A longer frame means that the stream does not contain frames. */
const maxFrameBytes = 4 * 1024 * 1024;

// Without CBOR records, each message can be decoded by itself, as the versions in production do.
const encoder = new Encoder({ useRecords: false });
const decoder = new Decoder({ useRecords: false });

/** Returns the frame of one message. */
export function encodeFrame(message: unknown): Buffer {
	const body = encoder.encode(message);
	const header = Buffer.allocUnsafe(headerBytes);
	header.writeUInt32BE(body.length, 0);
	return Buffer.concat([header, body]);
}

/** Splits the byte stream of one connection into messages. Buffers the bytes of an incomplete frame. */
export class FrameReader {
	private chunks: Buffer[] = [];
	private bufferedBytes = 0;

	/**
	 * Adds the next chunk of the stream and returns the messages that it completes. Throws for a frame that is
	 * longer than the maximum, and for one that is not CBOR; the rest of the stream cannot be read after that.
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
