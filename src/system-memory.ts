/** The memory of this process. */

import { getHeapStatistics } from "node:v8";
import type { ProcessMemory } from "./coordination/ports/process-memory.js";

/** The JavaScript heap, as the engine reports it. */
export const systemMemory: ProcessMemory = {
	heapLimitBytes: getHeapStatistics().heap_size_limit,
	heapUsedBytes: () => getHeapStatistics().used_heap_size,
};
