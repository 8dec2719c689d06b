/** 32-bit FNV-1a with a final mix: the same on every node, which is all that is asked of it. */
function hash(text: string): number {
	let h = 0x811c9dc5;
	for (let i = 0; i < text.length; i++) {
		h ^= text.charCodeAt(i);
		h = Math.imul(h, 0x01000193);
	}
	h ^= h >>> 16;
	h = Math.imul(h, 0x85ebca6b);
	h ^= h >>> 13;
	h = Math.imul(h, 0xc2b2ae35);
	return (h ^ (h >>> 16)) >>> 0;
}

/** Rendezvous hashing: a team moves only when its own placer comes or goes. */
export function ownerOf(team: string, live: readonly string[]): string | null {
	let best: string | null = null;
	let most = -1;
	for (const node of live) {
		const weight = hash(`${node}/${team}`);
		if (weight > most || (weight === most && best !== null && node < best)) {
			best = node;
			most = weight;
		}
	}
	return best;
}
