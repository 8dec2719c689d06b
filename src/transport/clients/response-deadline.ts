/** The deadline of a call, which is fair to the other side when this process itself stood still. */

/** A deadline that is noticed later than this passed while the process stood still. */
const pauseThresholdMs = 500;

/** How long a response that arrived during a pause of the process may take to be read after it. */
const graceAfterPauseMs = 50;

/**
 * Runs an action once the deadline has passed, unless it is cancelled before.
 *
 * Node.js runs timers before it reads sockets. After a pause of the whole process the response may have been
 * waiting in the socket for long, and the other side is not to blame: the deadline is then extended by a
 * moment, in which the response is read. The test is in `tests/transport/clients/http-client.test.ts`.
 */
export class ResponseDeadline {
	private timer: NodeJS.Timeout;

	constructor(timeoutMs: number, onExpired: () => void) {
		const deadlineAt = performance.now() + timeoutMs;
		this.timer = setTimeout(() => {
			const latenessMs = performance.now() - deadlineAt;
			if (latenessMs > pauseThresholdMs) this.timer = setTimeout(onExpired, graceAfterPauseMs);
			else onExpired();
		}, timeoutMs);
	}

	/** The action does not run any more. */
	cancel(): void {
		clearTimeout(this.timer);
	}
}
