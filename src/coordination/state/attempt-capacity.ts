/** The bound of the attempts that a leader has at a time, which follows from the heap of its own process. */

/**
 * The part of the heap that attempts may take: as much as live jobs, so that the last third is left for machines, messages
 * and ended jobs.
 */
const heapFraction = 1 / 3;

/** An attempt with its entries in the indexes of its job and its machine, its charge and its place in a heartbeat. */
const attemptBytes = 500;

/** Returns the number of attempts that a leader with this heap limit has at most. */
export function maxAttempts(heapLimitBytes: number): number {
	return Math.floor((heapLimitBytes * heapFraction) / attemptBytes);
}
