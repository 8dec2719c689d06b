/** The memory of this process as coordination uses it. */

/** The JavaScript heap of this process. */
export interface ProcessMemory {
	/** Size of the heap in bytes beyond which the process ends. */
	readonly heapLimitBytes: number;
	/** Size in bytes of the objects on the heap, including those that are not collected yet. */
	heapUsedBytes(): number;
}
