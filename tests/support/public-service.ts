import type { PublicService } from "../../src/transport/public-api.js";

export const settings = `node = "runner-0"
domain = "z"
front = "127.0.0.1:8080"
back = "127.0.0.1:8081"
unknown = "is ignored"
[endpoints]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[cluster]
nodes = 1
[[cluster.teams]]
name = "red"
cpus = 4.0
cpus_max = 8.0
[cluster.workers]
report_s = 1.0
lease_s = 10.0
cancel_s = 37.0
[cluster.state]
rps = 100.0
write_rps = 20.0
value_kb = 16.0
txn_ops = 12
[cluster.cloud]
rps = 2.0
list_lag_s = 4.0
`;

export const job = {
	id: "j-000412",
	lane: "train",
	desk: "red",
	form: "array",
	urgency: "urgent",
	pieces: 16,
	cores: 8.0,
	accelerators: 1.0,
	ram_gb: 64.0,
	bundle: "img-07",
	image_gb: 6.2,
	shapes: ["g8"],
	hall: null,
	one_zone: true,
	spread: false,
	loaners: true,
	guess_s: 240.0,
	bookmark_s: 30.0,
	bookmark_cost_s: 4.0,
	due_s: 900.0,
};

export const service: PublicService = {
	submit: async (spec) =>
		spec.team === "red"
			? { kind: "accepted", status: "pending" }
			: { kind: "impossible", reason: "there is no team" },
	status: async (id) =>
		id === "j-1" ? { kind: "job", status: "running", done: 1, running: 2 } : { kind: "unknown" },
	cancel: async () => ({ kind: "later", reason: "not now" }),
	handleHeartbeat: async () => ({ kind: "redirect", node: "runner-2" }),
	ready: () => true,
};

export const report = {
	host: "n",
	endpoint: "e:1",
	shape: "s",
	hall: "a",
	shift: 1,
	tick: 1,
	baton: 0,
	pieces: [],
};
