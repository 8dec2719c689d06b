/**
 * Rendezvous hashing: assigns each key to a node. All processes with the same list of nodes compute the same
 * assignment, without messages.
 *
 * Each node has a weight for each key, and the node with the greatest weight owns the key. When a node joins or
 * leaves, only the keys that it owns move. Teams are assigned to placers this way, and machines to controllers that
 * forward heartbeats.
 */

/** 32-bit FNV-1a with the final mix of MurmurHash3, which spreads keys that differ only in their last characters. */
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

/** Returns the node that owns the key; null: there are no nodes. The order of the nodes does not matter. */
export function ownerOf<Node extends string>(key: string, nodes: readonly Node[]): Node | null {
	let owner: Node | null = null;
	let greatestWeight = -1;
	for (const node of nodes) {
		const weight = hash(`${node}/${key}`);
		const wins = weight > greatestWeight || (weight === greatestWeight && owner !== null && node < owner);
		if (!wins) continue;
		owner = node;
		greatestWeight = weight;
	}
	return owner;
}
