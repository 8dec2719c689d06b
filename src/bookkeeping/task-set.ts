/** Sets of task numbers as bitmaps, which are stored in pages. */

/** Multiple of eight so that pages begin on a byte; as text a page takes some 700 characters. */
export const tasksPerPage = 4096;

/** A set of task numbers that the holder may not change. */
export interface ReadonlyTaskSet {
	/** Number of tasks of the job; members are smaller. */
	readonly size: number;
	/** Number of members. */
	readonly count: number;
	/** Every task is a member. */
	readonly full: boolean;
	has(taskIndex: number): boolean;
	/** One page of the bitmap as text, for a store record. */
	encodePage(number: number): string;
}

/** A set of task numbers of one job, kept as a bitmap. It only grows. */
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

	/** Adds a task; false: it was a member, or the job has no such task. */
	add(taskIndex: number): boolean {
		if (taskIndex < 0 || taskIndex >= this.size || this.has(taskIndex)) return false;
		this.bits[taskIndex >> 3] = this.byteOf(taskIndex) | bitOf(taskIndex);
		this.members += 1;
		return true;
	}

	encodePage(number: number): string {
		const from = (number * tasksPerPage) >> 3;
		return Buffer.from(this.bits.subarray(from, from + (tasksPerPage >> 3))).toString("base64");
	}

	/** Adds the members of a page that `page` has made, of this set or of another one for the same job. */
	addPage(number: number, text: string): void {
		const bytes = Buffer.from(text, "base64");
		const from = number * tasksPerPage;
		for (let i = 0; i < bytes.length * 8; i++) {
			if (((bytes[i >> 3] ?? 0) & bitOf(i)) !== 0) this.add(from + i);
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

/** Number of members in a page. */
export function countInPage(text: string): number {
	let members = 0;
	for (const byte of Buffer.from(text, "base64")) {
		for (let bits = byte; bits !== 0; bits &= bits - 1) members += 1;
	}
	return members;
}
