import type { Machine } from "../../bookkeeping/machine.js";

/** Machines usually boot in up to this many times the stated time. */
const usualBootTimes = 1.6;
/** Of what was observed lately, so much more is still usual. */
const observedFactor = 1.2;
/** Boots of a type that are remembered. */
const bootsKept = 8;
/** With others of its type up that were rented with or after it, a machine is given up after so many stated times. */
const overtakenBootTimes = 2;
/** Where nothing says that it is the machine and not all of its type, it is given this many times as long. */
const patience = 2;
/** A stated boot time of a few seconds leaves no room for delays on the way. */
const leastBootS = 30;

interface TypeBoots {
	/** Durations of the latest boots. */
	durationsMs: number[];
	/** When the latest rented machine that is up was rented. */
	latestRentedAt: number;
}

/**
 * How long machines take to come up, by what this leader has seen of each type. Some take several
 * times as long as stated and a few never come up. Those that are late no longer count as coming
 * capacity; those that others overtook go back.
 */
export class ProvisioningTimes {
	private readonly byType = new Map<string, TypeBoots>();

	constructor(
		/** Stated boot times after which a machine is given up that nothing is known against or for. */
		private readonly bootTimes: number,
	) {}

	/** A machine that this leader rented has reported for the first time. */
	noteUp({ type, lifecycle }: Machine, now: number): void {
		const { requestedAt } = lifecycle;
		const boots = this.byType.get(type.name) ?? { durationsMs: [], latestRentedAt: -Infinity };
		this.byType.set(type.name, boots);
		boots.durationsMs.push(now - requestedAt);
		if (boots.durationsMs.length > bootsKept) boots.durationsMs.shift();
		boots.latestRentedAt = Math.max(boots.latestRentedAt, requestedAt);
	}

	/** It should be up by now, and another is to be had in its place. */
	isOverdue(machine: Machine, now: number): boolean {
		if (machine.agent.running) return false;
		const observed = Math.max(0, ...(this.byType.get(machine.type.name)?.durationsMs ?? []));
		return (
			now - machine.lifecycle.requestedAt >
			Math.max(statedMs(machine) * usualBootTimes, observed * observedFactor)
		);
	}

	/** It will hardly come up any more. */
	isGivenUp(machine: Machine, now: number): boolean {
		if (machine.agent.running) return false;
		const age = now - machine.lifecycle.requestedAt;
		const latest = this.byType.get(machine.type.name)?.latestRentedAt ?? -Infinity;
		const times = latest >= machine.lifecycle.requestedAt ? overtakenBootTimes : this.bootTimes * patience;
		return age > statedMs(machine) * times && this.isOverdue(machine, now);
	}
}

function statedMs({ type }: Machine): number {
	return Math.max(leastBootS, type.bootS) * 1000;
}
