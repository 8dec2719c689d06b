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
	shape: string;
	hall: string;
	loaners: boolean;
	rentedAt: number;
}

/** Rents stand-in machines; tells the world when one comes up or goes. */
export class FakeCloud {
	readonly hosts = new Map<string, FakeHost>();
	private readonly answered = new Map<string, string[]>();
	private next = 0;
	outage = false;
	/** Zones in which nothing is to be had. */
	readonly full = new Set<string>();
	/** What is rented from now on takes so many times its boot time; infinite: it never comes up. */
	bootTimes = 1;
	/** Every rental request name ever seen, with how often it rented. */
	readonly requests = new Map<string, number>();

	constructor(
		private readonly time: FakeTime,
		readonly types: FakeType[],
		private readonly capacity: number,
		private readonly hooks: { up(host: FakeHost, type: FakeType): void; gone(id: string): void },
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
				shape: h.shape,
				hall: h.hall,
				loaners: h.loaners,
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
		if (this.hosts.delete(id)) this.hooks.gone(id);
	}

	private rent(request: {
		hire: string;
		shape: string;
		hall: string;
		loaners: boolean;
		count: number;
	}): HttpResponse {
		const before = this.answered.get(request.hire);
		if (before) return { status: 200, body: { hosts: before } };
		const type = this.types.find((t) => t.sku === request.shape);
		if (!type) return { status: 400, body: {} };
		const n = this.full.has(request.hall) ? 0 : Math.min(request.count, this.capacity - this.hosts.size);
		if (n <= 0) return { status: 503, body: { error: "no capacity" } };
		this.requests.set(request.hire, (this.requests.get(request.hire) ?? 0) + 1);
		const ids: string[] = [];
		for (let i = 0; i < n; i++) {
			const host: FakeHost = {
				id: `n-${String(this.next++).padStart(6, "0")}`,
				shape: request.shape,
				hall: request.hall,
				loaners: request.loaners,
				rentedAt: this.time.now(),
			};
			this.hosts.set(host.id, host);
			ids.push(host.id);
			if (!Number.isFinite(this.bootTimes)) continue;
			this.time.after(type.boot_s * this.bootTimes * 1000, () => {
				if (this.hosts.has(host.id)) this.hooks.up(host, type);
			});
		}
		this.answered.set(request.hire, ids);
		return { status: 200, body: { hosts: ids } };
	}
}
