/** What the stand-ins see of tasks, and the checks of the rules `ran_twice` and `wrong_place` (type and zone). */

/** Records the starts and ends of tasks on machines. */
export class TaskEvents {
	constructor(record) {
		this.record = record;
		/** The machines on which each task is now. */
		this.on = new Map();
		this.violations = [];
		this.starts = 0;
		this.runs = 0;
	}

	onRun(worker, piece, attempt, source) {
		this.runs += 1;
		this.record(`${worker.id}: run ${piece} try ${attempt} (${source})`);
	}

	onStart(worker, piece, attempt, job) {
		this.starts += 1;
		const machines = this.on.get(piece) ?? new Set();
		this.on.set(piece, machines);
		const others = [...machines].filter((id) => id !== worker.id);
		machines.add(worker.id);
		this.record(`${worker.id}: start ${piece} try ${attempt}`);
		if (others.length > 0) this.broken(`ran_twice: ${piece} starts on ${worker.id} while it is on ${others.join(" ")}`);
		const { hall, shapes } = job;
		if (hall !== null && hall !== worker.hall) this.broken(`wrong_place: ${piece} starts on ${worker.id} in ${worker.hall}, its job allows only ${hall}`);
		if (shapes !== null && !shapes.includes(worker.type.sku)) this.broken(`wrong_place: ${piece} starts on a ${worker.type.sku}, its job allows only ${shapes}`);
	}

	broken(violation) {
		this.violations.push(violation);
		this.record(`RULE BROKEN ${violation}`);
	}

	onEnd(worker, piece, attempt, why) {
		this.on.get(piece)?.delete(worker.id);
		this.record(`${worker.id}: end ${piece} try ${attempt}, ${why}`);
	}
}

/** The fields of a submission that the cases do not vary. */
export function jobBody(fields) {
	return {
		lane: "sopaletras",
		form: "array",
		urgency: "normal",
		cores: 2.0,
		accelerators: 0.0,
		ram_gb: 6.2,
		shapes: null,
		hall: null,
		one_zone: false,
		spread: false,
		loaners: true,
		bundle: "img-01",
		image_gb: 0.1,
		guess_s: 35.0,
		bookmark_s: 0.0,
		bookmark_cost_s: 0.0,
		due_s: null,
		...fields,
	};
}
