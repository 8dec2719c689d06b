/**
 * Paths of the HTTP interfaces. Their words are published and stay as they are: `/hosts` are machines,
 * `/hosts/return` deletes them, `/v1/report` takes workers' heartbeats, `/multi` is a compare-and-swap.
 */

/** The paths of this service, and those of the workers, the cloud and the store. */
export const paths = {
	/** Users: submit a job. Below it are a job's state and, after `/abort`, its cancellation. */
	jobs: "/v1/jobs",
	/** Workers: send a heartbeat. */
	heartbeats: "/v1/report",
	/** Load balancer: may this controller be sent requests? */
	ready: "/ready",

	/** Of a worker: take commands at once. */
	commands: "/commands",

	/** Of the cloud: the machine types on offer. */
	machineTypes: "/machine_types",
	/** Of the cloud: create machines (POST), list them (GET). */
	machines: "/hosts",
	/** Of the cloud: delete machines. */
	machineDeletions: "/hosts/return",

	/** Of the store: rows. A key follows as the rest of the path. */
	store: "/store",
	/** Of the store: compare-and-swap. */
	transaction: "/multi",
	/** Of the store: grant a lease. Below it are the leases, to be renewed and revoked. */
	leases: "/leases",
	/** Of the store: wait for changes. */
	watch: "/watch",
} as const;
