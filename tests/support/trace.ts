import type { JobBody } from "./world.js";

/**
 * A timed action of a trace. Fields that name a controller hold a selector (see `TracePlayer.selectNodes`); fields
 * that name a machine hold a task that runs on it.
 */
export interface Step {
	/** Seconds since the start of the trace. */
	at: number;
	submit?: JobBody & { node?: string };
	cancel?: string;
	/** The controller to which the cancellation is sent. */
	node?: string;
	crash?: string;
	restart?: string;
	/** Pauses the process, while its clocks run on; `resume_processes` resumes all. */
	pause_process?: string;
	resume_processes?: string;
	/** Pauses the workers of the machines that run these tasks; `resume_workers` resumes all. */
	hang_workers?: string[];
	resume_workers?: boolean;
	/** Delays all traffic of a zone's machines so that it arrives at the end of this many seconds. */
	delay_zone?: { zone: string; delay_s: number };
	store_outage?: boolean;
	store_unavailable_to?: string;
	store_available_to?: string;
	/** Cuts the links between workers and these controllers, in both directions. */
	isolate_from_workers?: string;
	isolate_from_peers?: string;
	reconnect_to_peers?: string;
	/** Cuts the machine that runs this task off from all controllers. */
	partition_machine?: string;
	/** Cuts all machines of the zone off from all controllers. */
	partition_zone?: string;
	/** Ends `partition_machine`, `partition_zone`, `drop_inbound`, `drop_heartbeats` and `fail_tasks` on all machines. */
	restore_machines?: string;
	/** Drops responses and direct commands to the machines of these tasks, while their heartbeats arrive. */
	drop_inbound?: string | string[];
	/** Drops the heartbeats of these machines, while direct commands reach them. */
	drop_heartbeats?: string[];
	/** Drops the response of every n-th transaction sent from now on, and delays its execution; 0: none. */
	delay_transactions?: { every: number; delay_s: number };
	/** The settings of processes that start from now on name the state service's future, lower limits. */
	announce_lower_limits?: boolean;
	/** The lower limits take effect. */
	apply_lower_limits?: boolean;
	/** Puts and deletes that the state service accepts per second from now on; it answers 429 beyond. */
	store_writes_per_s?: number;
	direct_command_delay_s?: number;
	/** Delays all responses of the state service. */
	store_delay_ms?: number;
	/** Delivers every heartbeat again after each of these delays. */
	duplicate_heartbeats_after_s?: number[];
	terminate_machine?: string;
	/** The machines of these tasks fail each task that starts on them, until `restore_machines`. */
	fail_tasks?: string | string[];
	/** Announces the reclaim of the spot machine that runs this task, and reclaims it after so many seconds. */
	spot_reclaim?: { task: string; in_s: number };
	cloud_outage?: boolean;
	/** Multiplies the boot time of machines rented from now on; "never": they do not boot. */
	boot_time_factor?: number | "never";
	/** From now on the cloud has no capacity in this zone. */
	zone_without_capacity?: string;
	/** Drops responses to matching requests, which are carried out. */
	drop_responses?: { to: string; path: string; method?: string };
	clear_link_faults?: boolean;
	expect?: Expectation;
}

/** Conditions that hold at the time of a step. */
export interface Expectation {
	/** The job that is queried at `node`, with the status and the HTTP status (200 by default) of the response. */
	job?: string;
	status?: string;
	http_status?: number;
	node?: string;
	/** Tasks that run. */
	running?: string[];
	/** Tasks that do not run. */
	not_running?: string[];
	/** Number of starts by task, since the beginning of the trace. */
	starts?: Record<string, number>;
	leader?: string;
	max_machines?: number;
	/** The least number of transactions that were rejected with 429 so far. */
	min_rate_limited?: number;
	/** Number of rental requests with distinct names that got machines so far. */
	rental_requests?: number;
	/** Text of a line that a controller has logged. */
	logged?: string;
}

/** A recorded scenario: a YAML file of timed steps that is played in fake time, with its expectations among them. */
export interface Trace {
	/** The condition and the expected behaviour. */
	title: string;
	/** The failure that the trace guards against. */
	guards_against: string;
	/** Number of machines that the cloud has. */
	cloud_capacity?: number;
	/** Number of controllers. */
	controllers?: number;
	/** Played once more in a configuration in which all controllers receive heartbeats and forward them. */
	forwarded_heartbeats?: boolean;
	steps: Step[];
	/** Additional steps by variant; each variant is played separately. */
	variants?: Record<string, Step[]>;
}
