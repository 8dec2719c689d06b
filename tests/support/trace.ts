import type { JobBody } from "./world.js";

/** Kept traces: each file tells one story, is played in fake time and ends with what must hold. */
export interface Step {
	at: number;
	submit?: JobBody & { node?: string };
	abort?: string;
	/** Where the cancellation is sent. */
	node?: string;
	crash?: string;
	restart?: string;
	/** Stands still, and goes on, while clocks run on. */
	freeze?: string;
	thaw?: string;
	/** Machines hang, by a task on each, and go on. */
	hang?: string[];
	go_on?: boolean;
	/** Reports, answers and direct orders of a zone's machines arrive so many seconds late. */
	hold_zone?: { zone: string; late_s: number };
	outage?: boolean;
	refuse?: string;
	serve?: string;
	/** Workers and these controllers do not reach each other. */
	cut_workers?: string;
	cut_peer?: string;
	join_peer?: string;
	cut?: string;
	/** No machine of the zone reaches a controller. */
	cut_zone?: string;
	heal?: string;
	/** The machine of each of these tasks hears nothing from now on. */
	deaf?: string | string[];
	/** These machines reach no controller, while direct orders reach them. */
	mute?: string[];
	/** Of the transactions sent from now on every n-th gets no answer and is carried out later; 0: none. */
	late_writes?: { every: number; late_s: number };
	/** Processes that start from now on know the state service's limits to come. */
	limits_told?: boolean;
	/** The limits come. */
	limits_come?: boolean;
	/** The state service takes so many puts and deletes a second from now on, and 429 beyond. */
	writes_per_s?: number;
	/** Direct orders are held up for so long. */
	late_orders_s?: number;
	/** Answers of the state service take so long. */
	slow_state_ms?: number;
	/** Every report arrives again after so many seconds. */
	copies?: number[];
	die?: string;
	/** The machines of these tasks fail whatever starts there, until all are healed. */
	sick?: string | string[];
	taken?: { piece: string; in_s: number };
	cloud_outage?: boolean;
	/** What is rented from now on takes so many times its boot time, or never comes up. */
	boot_times?: number | "never";
	/** From now on nothing can be rented in this zone. */
	zone_full?: string;
	lose_answers?: { to: string; path: string; method?: string };
	no_faults?: boolean;
	expect?: Expectation;
}

export interface Expectation {
	job?: string;
	status?: string;
	http?: number;
	node?: string;
	running?: string[];
	idle?: string[];
	starts?: Record<string, number>;
	leader?: string;
	machines_at_most?: number;
	/** Transactions that were refused for their rate so far, at least. */
	refused_for_rate?: number;
	/** Rental requests by different names that got machines. */
	rentals?: number;
	/** A controller has logged this. */
	said?: string;
}

export interface Trace {
	title: string;
	guards: string;
	capacity?: number;
	controllers?: number;
	/** Played once more with reports received by all controllers. */
	relayed?: boolean;
	steps: Step[];
	/** Each is played by itself, with these steps among the others. */
	variants?: Record<string, Step[]>;
}
