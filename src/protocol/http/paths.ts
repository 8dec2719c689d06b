/** Paths of the HTTP interfaces, our own and those of cloud, workers and state service. */
export const paths = {
	jobs: "/v1/jobs",
	report: "/v1/report",
	ready: "/ready",
	commands: "/commands",
	machineTypes: "/machine_types",
	machines: "/hosts",
	machinesReturn: "/hosts/return",
	store: "/store",
	transaction: "/multi",
	leases: "/leases",
	watch: "/watch",
} as const;
