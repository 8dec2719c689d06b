/** Timeouts of machines that boot, by the boots observed for their types. */

import type { Machine } from "../../bookkeeping/machine.js";

/** Machines usually boot within this multiple of the stated boot time. */
const usualBootFactor = 1.6;
/** A boot that takes up to this multiple of the longest recent boot of the type is still usual. */
const observedBootFactor = 1.2;
/** The number of recent boots recorded for each type. */
const maxRecordedBoots = 8;
/**
 * The boot timeout of a machine that was overtaken by another of its type, requested with it or later, as a
 * multiple of the stated boot time.
 */
const overtakenTimeoutFactor = 2;
/**
 * The configured boot timeout is multiplied by this while no machine of the type has overtaken the machine: the
 * whole type may boot slowly.
 */
const noEvidenceTimeoutFactor = 2;
/**
 * Shorter stated boot times are raised to this, since they leave no margin for delays of requests and
 * heartbeats.
 */
const minStatedBootS = 30;

/** The boots of one machine type that this leader has observed. */
interface BootHistory {
	/** Durations of the most recent boots. */
	durationsMs: number[];
	/** Monotonic time of the latest request whose machine is up. */
	latestRequestedAt: number;
}

/**
 * Decides, from the boots of each type that this leader has observed, whether a machine is overdue and whether
 * its boot has timed out. Some machines take several times the stated boot time, and a few never come up.
 * Overdue machines no longer count as capacity, and those whose boot has timed out are deleted.
 */
export class ProvisioningTimes {
	private readonly historyByType = new Map<string, BootHistory>();

	constructor(
		/** The configured boot timeout, as a multiple of the stated boot time. */
		private readonly bootTimeoutFactor: number,
	) {}

	/** Records the boot of a machine that this leader requested, at its first heartbeat. */
	recordBoot({ type, lifecycle }: Machine, now: number): void {
		const { requestedAt } = lifecycle;
		const history = this.historyByType.get(type.name) ?? { durationsMs: [], latestRequestedAt: -Infinity };
		this.historyByType.set(type.name, history);
		history.durationsMs.push(now - requestedAt);
		if (history.durationsMs.length > maxRecordedBoots) history.durationsMs.shift();
		history.latestRequestedAt = Math.max(history.latestRequestedAt, requestedAt);
	}

	/** True if the machine takes longer than usual to come up; another may be created in its place. */
	isOverdue(machine: Machine, now: number): boolean {
		if (machine.agent.running) return false;
		const longestBootMs = Math.max(0, ...(this.historyByType.get(machine.type.name)?.durationsMs ?? []));
		return (
			now - machine.lifecycle.requestedAt >
			Math.max(statedBootMs(machine) * usualBootFactor, longestBootMs * observedBootFactor)
		);
	}

	/** True if the machine is unlikely to come up and should be deleted. */
	isBootTimedOut(machine: Machine, now: number): boolean {
		if (machine.agent.running) return false;
		const ageMs = now - machine.lifecycle.requestedAt;
		const latestRequestedAt = this.historyByType.get(machine.type.name)?.latestRequestedAt ?? -Infinity;
		const timeoutFactor =
			latestRequestedAt >= machine.lifecycle.requestedAt
				? overtakenTimeoutFactor
				: this.bootTimeoutFactor * noEvidenceTimeoutFactor;
		return ageMs > statedBootMs(machine) * timeoutFactor && this.isOverdue(machine, now);
	}
}

function statedBootMs({ type }: Machine): number {
	return Math.max(minStatedBootS, type.bootS) * 1000;
}
