/** Sets of task numbers as bitmaps that are stored in pages. */

/** Multiple of eight so that pages begin on a byte boundary; a page takes some 700 characters in base64. */
export const tasksPerPage = 4096;

/** Read-only view of a set of task numbers. */
export interface ReadonlyTaskSet {
	/** Number of tasks of the job; all members are smaller. */
	readonly size: number;
	/** Number of members. */
	readonly count: number;
	/** True if every task is a member. */
	readonly full: boolean;
	has(taskIndex: number): boolean;
	/** Returns a page of the bitmap in base64, for a store record. */
	encodePage(page: number): string;
}

/** A set of task numbers of one job. Members are never removed. */
export class TaskSet implements ReadonlyTaskSet {
	private readonly bits: Uint8Array;
	private members = 0;

	/** @param size Number of tasks of the job. */
	constructor(readonly size: number) {
		this.bits = new Uint8Array(Math.ceil(size / 8));
	}

	get count(): number {
		return this.members;
	}

	get full(): boolean {
		return this.members === this.size;
	}

	has(taskIndex: number): boolean {
		if (taskIndex < 0 || taskIndex >= this.size) return false;
		return (this.byteOf(taskIndex) & bitOf(taskIndex)) !== 0;
	}

	/** Adds a task. Returns false if it was a member already, or if the job has no such task. */
	add(taskIndex: number): boolean {
		if (taskIndex < 0 || taskIndex >= this.size || this.has(taskIndex)) return false;
		this.bits[taskIndex >> 3] = this.byteOf(taskIndex) | bitOf(taskIndex);
		this.members += 1;
		return true;
	}

	encodePage(page: number): string {
		const firstByte = (page * tasksPerPage) >> 3;
		return Buffer.from(this.bits.subarray(firstByte, firstByte + (tasksPerPage >> 3))).toString("base64");
	}

	/** Adds the members of a page that `encodePage` returned for this job. */
	addPage(page: number, text: string): void {
		const bytes = Buffer.from(text, "base64");
		const firstTask = page * tasksPerPage;
		for (let i = 0; i < bytes.length * 8; i++) {
			if (((bytes[i >> 3] ?? 0) & bitOf(i)) !== 0) this.add(firstTask + i);
		}
	}

	private byteOf(taskIndex: number): number {
		return this.bits[taskIndex >> 3] ?? 0;
	}
}

/** The bit of a task within its byte. */
function bitOf(taskIndex: number): number {
	return 1 << (taskIndex & 7);
}

/** Returns the number of members in a page. */
export function countInPage(text: string): number {
	let members = 0;
	for (const byte of Buffer.from(text, "base64")) {
		for (let bits = byte; bits !== 0; bits &= bits - 1) members += 1;
	}
	return members;
}
