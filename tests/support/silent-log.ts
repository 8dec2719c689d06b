import type { Log } from "../../src/coordination/ports/log.js";

/** For what is tested without regard to what it logs. */
export const silentLog: Log = { error() {}, info() {}, debug() {} };
