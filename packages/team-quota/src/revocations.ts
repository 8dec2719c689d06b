/**
 * Allotments that are being revoked because their process can no longer admit anything.
 *
 * The process may reply again while the write is in flight, and the write may be executed late: the node may admit
 * nothing until the stored record has changed, whatever the process replies.
 */
export class RevocationsInProgress {
	private readonly nodesByTeam = new Map<string, Set<string>>();

	/** Begins the revocation of the node's allotment. Returns false if it has begun already. */
	begin(team: string, node: string): boolean {
		let nodes = this.nodesByTeam.get(team);
		if (nodes?.has(node)) return false;
		if (!nodes) {
			nodes = new Set();
			this.nodesByTeam.set(team, nodes);
		}
		nodes.add(node);
		return true;
	}

	isBeingRevoked(team: string, node: string): boolean {
		return this.nodesByTeam.get(team)?.has(node) ?? false;
	}

	/** Returns the nodes whose allotment of the team is being revoked. */
	nodes(team: string): ReadonlySet<string> {
		return this.nodesByTeam.get(team) ?? new Set();
	}

	/** Ends the team's revocations, since its stored record has changed. */
	end(team: string): void {
		this.nodesByTeam.delete(team);
	}
}
