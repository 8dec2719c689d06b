/** Charges: which allotment each running task of a term counts against. */

import { type Amount, addAmounts, subtractAmounts, zeroAmount } from "./amount.js";

/**
 * The amount that one task uses of its team's limit until it is confirmed to have ended, and the node
 * against whose allotment it counts.
 */
export interface Charge {
	readonly team: string;
	node: string;
	readonly amount: Amount;
}

interface NodeCharges {
	total: Amount;
	readonly charges: Set<Charge>;
}

/**
 * The charges of tasks that run or may run, by team and by the controller against whose allotment they
 * count.
 */
export class ChargeLedger {
	private readonly teams = new Map<string, Map<string, NodeCharges>>();

	constructor(private readonly onChange: (team: string, node: string) => void = () => {}) {}

	chargedTo(team: string, node: string): Amount {
		return this.teams.get(team)?.get(node)?.total ?? zeroAmount;
	}

	teamTotal(team: string): Amount {
		let total = zeroAmount;
		for (const node of this.teams.get(team)?.values() ?? []) total = addAmounts(total, node.total);
		return total;
	}

	add(team: string, node: string, amount: Amount): Charge {
		const charge = { team, node, amount };
		this.insert(charge);
		return charge;
	}

	release(charge: Charge): void {
		const node = this.teams.get(charge.team)?.get(charge.node);
		if (!node?.charges.delete(charge)) return;
		node.total = subtractAmounts(node.total, charge.amount);
		this.onChange(charge.team, charge.node);
	}

	/** Moves all charges of the team from one controller's allotment to another's; the tasks keep running. */
	transferAll(team: string, from: string, to: string): void {
		const node = this.teams.get(team)?.get(from);
		if (!node || from === to) return;
		this.teams.get(team)?.delete(from);
		for (const charge of node.charges) {
			charge.node = to;
			this.insert(charge);
		}
		this.onChange(team, from);
	}

	private insert(charge: Charge): void {
		const node = this.nodeCharges(charge.team, charge.node);
		node.charges.add(charge);
		node.total = addAmounts(node.total, charge.amount);
		this.onChange(charge.team, charge.node);
	}

	private nodeCharges(team: string, nodeName: string): NodeCharges {
		let nodes = this.teams.get(team);
		if (!nodes) {
			nodes = new Map();
			this.teams.set(team, nodes);
		}
		let node = nodes.get(nodeName);
		if (!node) {
			node = { total: zeroAmount, charges: new Set() };
			nodes.set(nodeName, node);
		}
		return node;
	}
}
