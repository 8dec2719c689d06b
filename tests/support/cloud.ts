import type { HttpResponse } from "../../src/transport/clients/http-response.js";
import type { FakeTime } from "./fake-time.js";

export interface FakeType {
	sku: string;
	cores: number;
	ram_gb: number;
	rate: number;
	market_price: number;
	boot_s: number;
	halls: string[];
}

export interface FakeHost {
	id: string;
	machineType: string;
	zone: string;
	spot: boolean;
	rentedAt: number;
}

/** Stand-in for the cloud API; calls its hooks when a machine has booted and when one has been removed. */
export class FakeCloud {
	readonly hosts = new Map<string, FakeHost>();
	private readonly hostsByRequest = new Map<string, string[]>();
	private nextHostNumber = 0;
	outage = false;
	/** Zones in which rental requests get no machine. */
	readonly zonesWithoutCapacity = new Set<string>();
	/** Multiplies the boot time of machines rented from now on; infinity: they never boot. */
	bootTimeFactor = 1;
	/** Number of rentals that created machines, by the name of the request. */
	readonly rentalsByRequest = new Map<string, number>();

	constructor(
		private readonly time: FakeTime,
		readonly types: FakeType[],
		private readonly capacity: number,
		private readonly hooks: { booted(host: FakeHost, type: FakeType): void; removed(id: string): void },
	) {}

	handle(method: string, path: string, body: unknown): HttpResponse {
		if (this.outage) return { status: 503, body: { error: "trouble" } };
		const url = new URL(path, "http://cloud");
		if (url.pathname === "/machine_types") {
			return {
				status: 200,
				body: {
					shapes: this.types.map((t) => ({ ...t, accelerators: 0, local_gb: 50, fetch_gb_per_s: 1 })),
				},
			};
		}
		if (method === "GET") {
			const hosts = [...this.hosts.values()].map((h) => ({
				id: h.id,
				endpoint: `${h.id}:9000`,
				shape: h.machineType,
				hall: h.zone,
				loaners: h.spot,
				status: "running",
				age_s: (this.time.now() - h.rentedAt) / 1000,
			}));
			return { status: 200, body: { hosts, truncated: false } };
		}
		if (url.pathname === "/hosts/return") {
			for (const id of (body as { hosts: string[] }).hosts) this.remove(id);
			return { status: 200, body: {} };
		}
		return this.rent(body as { hire: string; shape: string; hall: string; loaners: boolean; count: number });
	}

	remove(id: string): void {
		if (this.hosts.delete(id)) this.hooks.removed(id);
	}

	private rent(request: {
		hire: string;
		shape: string;
		hall: string;
		loaners: boolean;
		count: number;
	}): HttpResponse {
		const rentedEarlier = this.hostsByRequest.get(request.hire);
		if (rentedEarlier) return { status: 200, body: { hosts: rentedEarlier } };
		const type = this.types.find((t) => t.sku === request.shape);
		if (!type) return { status: 400, body: {} };
		const rentedCount = this.zonesWithoutCapacity.has(request.hall)
			? 0
			: Math.min(request.count, this.capacity - this.hosts.size);
		if (rentedCount <= 0) return { status: 503, body: { error: "no capacity" } };
		this.rentalsByRequest.set(request.hire, (this.rentalsByRequest.get(request.hire) ?? 0) + 1);
		const ids: string[] = [];
		for (let i = 0; i < rentedCount; i++) {
			const host: FakeHost = {
				id: `n-${String(this.nextHostNumber++).padStart(6, "0")}`,
				machineType: request.shape,
				zone: request.hall,
				spot: request.loaners,
				rentedAt: this.time.now(),
			};
			this.hosts.set(host.id, host);
			ids.push(host.id);
			if (!Number.isFinite(this.bootTimeFactor)) continue;
			this.time.after(type.boot_s * this.bootTimeFactor * 1000, () => {
				if (this.hosts.has(host.id)) this.hooks.booted(host, type);
			});
		}
		this.hostsByRequest.set(request.hire, ids);
		return { status: 200, body: { hosts: ids } };
	}
}
