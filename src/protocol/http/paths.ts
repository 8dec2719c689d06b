/**
 * Paths of the HTTP APIs. They are published and must not change: `/hosts` are machines, `/hosts/return` deletes
 * them, `/v1/report` receives workers' heartbeats, `/multi` is a compare-and-swap.
 */

/** The paths of this service, the workers, the cloud and the store. */
export const paths = {
	/** For users: submits a job. Paths below it show a job's state and, with the suffix `/abort`, cancel the job. */
	jobs: "/v1/jobs",
	/** For workers: receives a heartbeat. */
	heartbeats: "/v1/report",
	/** For the load balancer: shows if this controller is ready to receive requests. */
	ready: "/ready",

	/** Of a worker: receives direct commands. */
	commands: "/commands",

	/** Of the cloud: lists the machine types. */
	machineTypes: "/machine_types",
	/** Of the cloud: creates machines (POST) and lists them (GET). */
	machines: "/hosts",
	/** Of the cloud: deletes machines. */
	machineDeletions: "/hosts/return",

	/** Of the store: reads rows. The key of a row is appended to the path. */
	store: "/store",
	/** Of the store: executes a compare-and-swap. */
	transaction: "/multi",
	/** Of the store: grants a lease. The paths below it renew and revoke leases. */
	leases: "/leases",
	/** Of the store: waits for changes. */
	watch: "/watch",
} as const;
