import type { Machine } from "../../bookkeeping/machine.js";

/** Machines usually boot within this multiple of the stated boot time. */
const usualBootTimes = 1.6;
/** A boot that takes up to this multiple of the longest recent boot of the type is still usual. */
const observedFactor = 1.2;
/** The number of recent boots recorded for each type. */
const bootsKept = 8;
/**
 * The boot timeout of a machine that was overtaken by another of its type, requested with it or later, as a multiple of
 * the stated boot time.
 */
const overtakenBootTimes = 2;
/**
 * The configured boot timeout is multiplied by this while no machine of the type has overtaken the machine: the whole
 * type may boot slowly.
 */
const patience = 2;
/** Shorter stated boot times are raised to this, since they leave no margin for delays of requests and heartbeats. */
const leastBootS = 30;

/** The boots of one machine type that this leader has observed. */
interface TypeBoots {
	/** Durations of the most recent boots. */
	durationsMs: number[];
	/** Monotonic time of the latest request whose machine is up. */
	latestRentedAt: number;
}

/**
 * Decides, from the boots of each type that this leader has observed, whether a machine is overdue and whether its boot
 * has timed out. Some machines take several times the stated boot time, and a few never come up. Overdue machines no
 * longer count as capacity, and those whose boot has timed out are deleted.
 */
export class ProvisioningTimes {
	private readonly byType = new Map<string, TypeBoots>();

	constructor(
		/** The configured boot timeout, as a multiple of the stated boot time. */
		private readonly bootTimes: number,
	) {}

	/** Records the boot of a machine that this leader requested, at its first heartbeat. */
	recordBoot({ type, lifecycle }: Machine, now: number): void {
		const { requestedAt } = lifecycle;
		const boots = this.byType.get(type.name) ?? { durationsMs: [], latestRentedAt: -Infinity };
		this.byType.set(type.name, boots);
		boots.durationsMs.push(now - requestedAt);
		if (boots.durationsMs.length > bootsKept) boots.durationsMs.shift();
		boots.latestRentedAt = Math.max(boots.latestRentedAt, requestedAt);
	}

	/** True if the machine takes longer than usual to come up; another may be created in its place. */
	isOverdue(machine: Machine, now: number): boolean {
		if (machine.agent.running) return false;
		const observed = Math.max(0, ...(this.byType.get(machine.type.name)?.durationsMs ?? []));
		return (
			now - machine.lifecycle.requestedAt >
			Math.max(statedMs(machine) * usualBootTimes, observed * observedFactor)
		);
	}

	/** True if the machine is unlikely to come up and should be deleted. */
	isBootTimedOut(machine: Machine, now: number): boolean {
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
