import { recordRun } from "./recorded-run.js";

/** Prints the stored values and peer messages of this version, for tests/fixtures when it goes into production. */
const plain = await recordRun(false);
const forwarding = await recordRun(true);
const fixture = { rows: plain.rows, messages: { ...forwarding.messages, ...plain.messages } };
process.stdout.write(`${JSON.stringify(fixture, null, "\t")}\n`);
process.exit(0);
