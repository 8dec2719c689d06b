/**
 * The version of the service, as `--version` and the first log line give it. A test keeps it equal to package.json;
 * reading that file at start would cost start-up time.
 */
export const version = "0.8.0";
