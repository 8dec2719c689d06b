import type { Log } from "../../src/coordination/ports/log.js";

/** A log that discards everything. */
export const silentLog: Log = { error() {}, info() {}, debug() {} };
