import { type Amount, minus, nothing, plus } from "./amount.js";

/**
 * The amount that one task uses of its team's limit until it is proved to have ended, and the node
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
export class ChargeBook {
	private readonly teams = new Map<string, Map<string, NodeCharges>>();

	constructor(private readonly changed: (team: string, node: string) => void = () => {}) {}

	of(team: string, node: string): Amount {
		return this.teams.get(team)?.get(node)?.total ?? nothing;
	}

	total(team: string): Amount {
		let total = nothing;
		for (const node of this.teams.get(team)?.values() ?? []) total = plus(total, node.total);
		return total;
	}

	add(team: string, node: string, amount: Amount): Charge {
		const charge = { team, node, amount };
		this.enter(charge);
		return charge;
	}

	release(charge: Charge): void {
		const node = this.teams.get(charge.team)?.get(charge.node);
		if (!node?.charges.delete(charge)) return;
		node.total = minus(node.total, charge.amount);
		this.changed(charge.team, charge.node);
	}

	/** Moves all charges of the team from one controller's allotment to another's; the tasks keep running. */
	moveAll(team: string, from: string, to: string): void {
		const node = this.teams.get(team)?.get(from);
		if (!node || from === to) return;
		this.teams.get(team)?.delete(from);
		for (const charge of node.charges) {
			charge.node = to;
			this.enter(charge);
		}
		this.changed(team, from);
	}

	private enter(charge: Charge): void {
		const node = this.nodeCharges(charge.team, charge.node);
		node.charges.add(charge);
		node.total = plus(node.total, charge.amount);
		this.changed(charge.team, charge.node);
	}

	private nodeCharges(team: string, name: string): NodeCharges {
		let nodes = this.teams.get(team);
		if (!nodes) {
			nodes = new Map();
			this.teams.set(team, nodes);
		}
		let node = nodes.get(name);
		if (!node) {
			node = { total: nothing, charges: new Set() };
			nodes.set(name, node);
		}
		return node;
	}
}
