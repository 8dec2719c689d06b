import { recordRun } from "./recorded-run.js";

/** Prints what this version stores and says, to be kept in tests/fixtures as that of a version in production. */
const plain = await recordRun(false);
const forwarding = await recordRun(true);
const fixture = { rows: plain.rows, messages: { ...forwarding.messages, ...plain.messages } };
process.stdout.write(`${JSON.stringify(fixture, null, "\t")}\n`);
process.exit(0);
