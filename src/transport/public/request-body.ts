/** Reads the bodies of requests up to a maximum size. */

/** Largest body of a request that is read, in bytes (PROTOCOL, first section). */
export const maxBodyBytes = 64 * 1024;

/** The error message for a larger body. */
export const bodyTooLargeMessage = `the body is larger than ${maxBodyBytes} bytes`;

/** Reads a body as text; null: it is larger than the maximum size and is not read to its end. */
export async function readBody(request: Request): Promise<string | null> {
	const declaredBytes = request.headers.get("content-length");
	// The server reads no more of a body than the declared length.
	if (declaredBytes !== null) return Number(declaredBytes) > maxBodyBytes ? null : request.text();
	return readChunkedBody(request);
}

/** Reads a body that is sent in chunks, so that its size is unknown before its end. */
async function readChunkedBody(request: Request): Promise<string | null> {
	const chunks: Uint8Array[] = [];
	let bytes = 0;
	const reader = request.body?.getReader();
	while (reader) {
		const { done, value } = await reader.read();
		if (done) break;
		bytes += value.length;
		if (bytes > maxBodyBytes) {
			await reader.cancel();
			return null;
		}
		chunks.push(value);
	}
	return Buffer.concat(chunks).toString("utf8");
}
