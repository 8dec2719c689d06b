/** Multiple of eight so that pages begin on a byte; as text a page takes some 700 characters. */
export const tasksPerPage = 4096;

/** A set of task numbers of one job, kept as a bitmap. */
export class TaskSet {
	private readonly bits: Uint8Array;
	private members = 0;

	constructor(readonly size: number) {
		this.bits = new Uint8Array(Math.ceil(size / 8));
	}

	get count(): number {
		return this.members;
	}

	has(index: number): boolean {
		return index >= 0 && index < this.size && ((this.bits[index >> 3] as number) & (1 << (index & 7))) !== 0;
	}

	add(index: number): boolean {
		if (index < 0 || index >= this.size || this.has(index)) return false;
		this.bits[index >> 3] = (this.bits[index >> 3] as number) | (1 << (index & 7));
		this.members += 1;
		return true;
	}

	get full(): boolean {
		return this.members === this.size;
	}

	/** One page of the bitmap as text, for a store record. */
	page(number: number): string {
		const from = (number * tasksPerPage) >> 3;
		return Buffer.from(this.bits.subarray(from, from + (tasksPerPage >> 3))).toString("base64");
	}

	addPage(number: number, text: string): void {
		const bytes = Buffer.from(text, "base64");
		const from = number * tasksPerPage;
		for (let i = 0; i < bytes.length * 8; i++) {
			if (((bytes[i >> 3] as number) & (1 << (i & 7))) !== 0) this.add(from + i);
		}
	}
}

export function countInPage(text: string): number {
	let n = 0;
	for (const byte of Buffer.from(text, "base64")) {
		for (let b = byte; b !== 0; b &= b - 1) n += 1;
	}
	return n;
}
