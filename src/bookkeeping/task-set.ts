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
	/** Pages of the bitmap that have members. */
	readonly pageNumbers: Iterable<number>;
	/** Returns a page of the bitmap in base64, for a store record. */
	encodePage(page: number): string;
}

/** A page of the bitmap that has members. */
interface Page {
	/** null: every task of the page is a member. */
	bits: Uint8Array | null;
	count: number;
}

/**
 * A set of task numbers of one job. Members are never removed. Only pages with some members and not all are stored as
 * bits, so that the size of the set follows what happened to the job: its tasks start in ascending order.
 */
export class TaskSet implements ReadonlyTaskSet {
	private readonly pages = new Map<number, Page>();
	private members = 0;

	/** @param size Number of tasks of the job. */
	constructor(readonly size: number) {}

	get count(): number {
		return this.members;
	}

	get full(): boolean {
		return this.members === this.size;
	}

	get pageNumbers(): Iterable<number> {
		return this.pages.keys();
	}

	has(taskIndex: number): boolean {
		if (taskIndex < 0 || taskIndex >= this.size) return false;
		const page = this.pages.get(pageOf(taskIndex));
		return page !== undefined && (page.bits === null || hasBit(page.bits, taskIndex % tasksPerPage));
	}

	/** Adds a task. Returns false if it was a member already, or if the job has no such task. */
	add(taskIndex: number): boolean {
		if (taskIndex < 0 || taskIndex >= this.size || this.has(taskIndex)) return false;
		const number = pageOf(taskIndex);
		const page = this.pages.get(number) ?? this.createPage(number);
		if (page.bits) setBit(page.bits, taskIndex % tasksPerPage);
		page.count += 1;
		if (page.count === this.tasksIn(number)) page.bits = null;
		this.members += 1;
		return true;
	}

	encodePage(page: number): string {
		const { bits } = this.pages.get(page) ?? { bits: this.emptyBits(page) };
		if (bits) return Buffer.from(bits).toString("base64");
		return this.tasksIn(page) === tasksPerPage ? fullPageText : encodeFullPage(this.tasksIn(page));
	}

	/** Adds the members of a page that `encodePage` returned for this job. */
	addPage(page: number, text: string): void {
		const tasks = this.tasksIn(page);
		if (tasks === 0) return;
		const bits = bitsOfPage(text, tasks);
		const added = this.pages.get(page);
		if (added) mergeBits(bits, added.bits ?? bitsOfPage(encodeFullPage(tasks), tasks));
		const count = countBits(bits);
		if (count === 0) return;
		this.members += count - (added?.count ?? 0);
		this.pages.set(page, { bits: count === tasks ? null : bits, count });
	}

	private createPage(number: number): Page {
		const page = { bits: this.emptyBits(number), count: 0 };
		this.pages.set(number, page);
		return page;
	}

	private emptyBits(page: number): Uint8Array {
		return new Uint8Array(Math.ceil(this.tasksIn(page) / 8));
	}

	private tasksIn(page: number): number {
		return Math.max(0, Math.min(tasksPerPage, this.size - page * tasksPerPage));
	}
}

function pageOf(taskIndex: number): number {
	return Math.floor(taskIndex / tasksPerPage);
}

function hasBit(bits: Uint8Array, index: number): boolean {
	return ((bits[index >> 3] ?? 0) & (1 << (index & 7))) !== 0;
}

function setBit(bits: Uint8Array, index: number): void {
	bits[index >> 3] = (bits[index >> 3] ?? 0) | (1 << (index & 7));
}

/** Returns the bits of a page's text, without bits of tasks that the job does not have. */
function bitsOfPage(text: string, tasks: number): Uint8Array {
	const bits = new Uint8Array(Math.ceil(tasks / 8));
	bits.set(Buffer.from(text, "base64").subarray(0, bits.length));
	const tasksOfLastByte = tasks % 8;
	if (tasksOfLastByte > 0) bits[bits.length - 1] = (bits.at(-1) ?? 0) & ((1 << tasksOfLastByte) - 1);
	return bits;
}

function mergeBits(bits: Uint8Array, others: Uint8Array): void {
	for (const [i, byte] of others.entries()) bits[i] = (bits[i] ?? 0) | byte;
}

function countBits(bytes: Uint8Array): number {
	let count = 0;
	for (const byte of bytes) for (let bits = byte; bits !== 0; bits &= bits - 1) count += 1;
	return count;
}

function encodeFullPage(tasks: number): string {
	const bits = new Uint8Array(Math.ceil(tasks / 8));
	for (let i = 0; i < tasks; i++) setBit(bits, i);
	return Buffer.from(bits).toString("base64");
}

/** The text of a page all of whose tasks are members, unless it is the last page of its job. */
const fullPageText = encodeFullPage(tasksPerPage);

/** Returns the length of the text of a page with this number of tasks. */
export function pageTextLength(tasks: number): number {
	const base64CharactersPerThreeBytes = 4;
	return base64CharactersPerThreeBytes * Math.ceil(Math.ceil(tasks / 8) / 3);
}

/** Returns the page's text, the same string for all full pages: those that are read from the store share one copy. */
export function sharedPageText(text: string): string {
	return text === fullPageText ? fullPageText : text;
}

/** Returns the number of members in a page. */
export function countInPage(text: string): number {
	if (text === fullPageText) return tasksPerPage;
	return countBits(Buffer.from(text, "base64"));
}
