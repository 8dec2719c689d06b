/**
 * The version of the service, shown by `--version` and in the first log line. It is a constant because reading
 * package.json would lengthen the start-up; a test keeps the two equal.
 */
export const version = "0.8.0";
