import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { describe, test } from "node:test";
import { fileURLToPath } from "node:url";
import type { CloseReport } from "../support/close-transport.js";

/** Longer than the process needs to exit, and shorter than the timers for which it must not wait. */
const processTimeoutMs = 20_000;

function runProcess(): Promise<CloseReport> {
	const script = fileURLToPath(new URL("../support/close-transport.js", import.meta.url));
	return new Promise((resolve, reject) => {
		execFile(process.execPath, [script], { timeout: processTimeoutMs }, (error, out, err) => {
			if (error) reject(new Error(`the process did not end by itself: ${error.message}\n${err}`));
			else resolve(JSON.parse(out) as CloseReport);
		});
	});
}

describe("closed servers, links and clients", () => {
	test("settle pending calls, leave no timer, socket or listener, and let the process exit", async () => {
		const report = await runProcess();
		assert.match(report.heartbeat, /^POST \/v1\/report: /, "the open call has failed");
		assert.equal(report.storeCall, "GET /store/a: the client was closed");
		for (const kind of ["TCPServerWrap", "TCPSocketWrap", "Timeout"]) {
			assert.ok(report.resourcesBefore.includes(kind), `${kind} was there before`);
		}
		assert.deepEqual(report.resourcesAfter, []);
	});
});
