export interface PeerPort {
	/** Best effort: a message to a peer that cannot be reached is dropped. */
	send(node: string, message: unknown): void;
}
