/** The amounts that controllers request of the limits of teams. */

import { type Amount, sameAmount, zeroAmount } from "./amount.js";

/** What each controller requests of each team's limit, and which controller receives the part that none requests. */
export class DemandTable {
	/** By team and node. */
	private readonly requestedAmounts = new Map<string, Map<string, Amount>>();
	/** By team. */
	private readonly preferredHolders = new Map<string, string>();

	/** Sets the amount that the node would use for the team without a limit. Returns true if it has changed. */
	setRequestedAmount(node: string, team: string, amount: Amount): boolean {
		if (sameAmount(this.requestedAmount(node, team), amount)) return false;
		let nodes = this.requestedAmounts.get(team);
		if (!nodes) {
			nodes = new Map();
			this.requestedAmounts.set(team, nodes);
		}
		nodes.set(node, amount);
		return true;
	}

	requestedAmount(node: string, team: string): Amount {
		return this.requestedAmounts.get(team)?.get(node) ?? zeroAmount;
	}

	/** Sets the team's preferred controller. Returns true if it has changed. */
	setPreferredHolder(node: string, team: string): boolean {
		if (this.preferredHolders.get(team) === node) return false;
		this.preferredHolders.set(team, node);
		return true;
	}

	preferredHolder(team: string): string | undefined {
		return this.preferredHolders.get(team);
	}
}
