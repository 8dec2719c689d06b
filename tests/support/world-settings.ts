/** The platform settings of the controllers in a simulated world. */

/** CPU limit of each team; team guest has neither guarantee nor limit. */
export const teamCpuLimits: Record<string, number> = { red: 8, blue: 8, guest: Number.POSITIVE_INFINITY };
export const nodeNames = ["runner-0", "runner-1", "runner-2"];

/** With this small a fraction of a core, any heartbeat rate makes all controllers receive and forward heartbeats. */
const tinyCores = 0.0005;

/** Seconds between a worker's heartbeats, if a test does not choose them. */
export const defaultHeartbeatIntervalS = 1;

/** Future limits of the state service. */
const nextLimitSettings = "[cluster.state.next]\nvalue_kb = 0.6\ntxn_ops = 4\n";

/** Settings of the platform that a test may choose. */
export interface PlatformOverrides {
	/** Seconds between a worker's heartbeats. */
	heartbeatIntervalS?: number;
	/** Each controller's share of a core, which decides from how many machines on heartbeats are forwarded. */
	coresPerController?: number;
}

interface PlatformOptions extends PlatformOverrides {
	node: string;
	nodes: string[];
	forwarding: boolean;
	nextLimitsAnnounced: boolean;
	state?: string;
}

/** Returns the platform settings file of a node. */
export function platformSettingsText(options: PlatformOptions): string {
	const { node, nodes, forwarding, nextLimitsAnnounced, state = "127.0.0.1:4" } = options;
	const { heartbeatIntervalS = defaultHeartbeatIntervalS, coresPerController = tinyCores } = options;
	const others = nodes
		.filter((n) => n !== node)
		.map((n) => `[[others]]\nnode = "${n}"\ndomain = "z"\naddr = "127.0.0.1:1"\n`);
	const teamText = Object.entries(teamCpuLimits).map(([name, maxCpus]) => {
		const cpus = Number.isFinite(maxCpus) ? maxCpus : 0;
		return `[[cluster.teams]]\nname = "${name}"\ncpus = ${cpus / 2}\ncpus_max = ${cpus}\n`;
	});
	return `node = "${node}"
domain = "z"
front = "127.0.0.1:1"
back = "127.0.0.1:2"
${others.join("\n")}
[endpoints]
cloud = "127.0.0.1:3"
state = "${state}"
[cluster]
nodes = ${nodes.length}
zones = ["a", "b"]
${teamText.join("\n")}
[cluster.workers]
report_s = ${heartbeatIntervalS.toFixed(1)}
lease_s = 10.0
cancel_s = 37.0
[cluster.state]
rps = 300.0
write_rps = 60.0
value_kb = 16.0
txn_ops = 12
[cluster.cloud]
rps = 5.0
list_lag_s = 1.0
${forwarding ? `[cluster.resources]\ncores = ${coresPerController}\n` : ""}${nextLimitsAnnounced ? nextLimitSettings : ""}`;
}
