/** A task's part of its team's limit, and the controller whose allotment it comes from for now. */
export interface QuotaCharge {
	readonly team: string;
	node: string;
	/** In thousandths. */
	readonly amount: { readonly cpus: number; readonly gpus: number };
}

export interface TeamLimits {
	name: string;
	cpus: number;
	cpus_max: number;
	gpus: number;
	gpus_max: number;
}

interface Use {
	cpus: number;
	gpus: number;
}

const slack = 1e-6;

/**
 * What teams' tasks take. A task counts from the moment its start is decided
 * until it is proved over, so that a lost answer can never hide one.
 */
export class QuotaLedger {
	private readonly limits = new Map<string, TeamLimits>();
	private readonly used = new Map<string, Use>();

	constructor(teams: TeamLimits[]) {
		for (const team of teams) this.limits.set(team.name, team);
	}

	/** A limit has changed; a team that the platform does not name has none. */
	setLimits(limits: TeamLimits): void {
		if (this.limits.has(limits.name)) this.limits.set(limits.name, limits);
	}

	team(name: string): TeamLimits | undefined {
		return this.limits.get(name);
	}

	get names(): Iterable<string> {
		return this.limits.keys();
	}

	use(name: string): Use {
		let use = this.used.get(name);
		if (!use) {
			use = { cpus: 0, gpus: 0 };
			this.used.set(name, use);
		}
		return use;
	}

	add(name: string, cpus: number, gpus: number): void {
		const use = this.use(name);
		use.cpus += cpus;
		use.gpus += gpus;
	}

	remove(name: string, cpus: number, gpus: number): void {
		const use = this.use(name);
		use.cpus = Math.max(0, use.cpus - cpus);
		use.gpus = Math.max(0, use.gpus - gpus);
	}

	fitsLimit(name: string, cpus: number, gpus: number): boolean {
		const limit = this.limits.get(name);
		if (!limit) return false;
		const use = this.use(name);
		return use.cpus + cpus <= limit.cpus_max + slack && use.gpus + gpus <= limit.gpus_max + slack;
	}

	/** How many more tasks of this size fit below the limit or, with `guarantee`, within the guarantee. */
	room(
		name: string,
		cpus: number,
		gpus: number,
		guarantee: boolean,
		extra: Use = { cpus: 0, gpus: 0 },
	): number {
		const limit = this.limits.get(name);
		if (!limit) return 0;
		const use = this.use(name);
		const most = guarantee
			? { cpus: limit.cpus, gpus: limit.gpus }
			: { cpus: limit.cpus_max, gpus: limit.gpus_max };
		const byCpus = cpus > 0 ? Math.floor((most.cpus - use.cpus - extra.cpus + slack) / cpus) : Infinity;
		const byGpus = gpus > 0 ? Math.floor((most.gpus - use.gpus - extra.gpus + slack) / gpus) : Infinity;
		return Math.max(0, Math.min(byCpus, byGpus));
	}
}
