/** The bound on the bodies of requests, and the reading of bodies within it. */

/** Largest body of a request. */
export const maxBodyBytes = 64 * 1024;

/** Said to the sender of a larger body. */
export const bodyTooLargeMessage = `the body is larger than ${maxBodyBytes} bytes`;

/** Reads a body as text; null: it is larger than allowed, and is not read to its end. */
export async function readBody(request: Request): Promise<string | null> {
	const declaredBytes = request.headers.get("content-length");
	// The server reads no more of a body than was declared.
	if (declaredBytes !== null) return Number(declaredBytes) > maxBodyBytes ? null : request.text();
	return readChunkedBody(request);
}

/** Reads a body that comes in chunks, so that its size is known only at its end. */
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
