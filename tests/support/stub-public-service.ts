import type { PublicService } from "../../src/transport/public/public-service.js";

/**
 * A service that accepts jobs of team red, reports j-1 as running, rejects cancellations as unavailable, and
 * redirects workers to runner-2.
 */
export const stubPublicService: PublicService = {
	submit: async (spec) =>
		spec.team === "red"
			? { kind: "accepted", status: "pending" }
			: { kind: "rejected", reason: "there is no team" },
	status: async (id) =>
		id === "j-1" ? { kind: "found", status: "running", done: 1, running: 2 } : { kind: "not-found" },
	cancel: async () => ({ kind: "unavailable", reason: "not now" }),
	handleHeartbeat: async () => ({ kind: "redirect", node: "runner-2" }),
	ready: () => true,
};
