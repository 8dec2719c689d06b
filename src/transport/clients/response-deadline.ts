/** The deadline of a call. It does not count a process pause as a missing response. */

/** If the timer runs later than this after the deadline, the process was paused. */
const pauseThresholdMs = 500;

/** Time after a process pause for reading a response that arrived during the pause. */
const graceAfterPauseMs = 50;

/**
 * Runs a callback once the deadline has passed, unless it is cancelled before.
 *
 * Node.js runs timers before it reads sockets. After a process pause, the response may have been in the socket for
 * a long time without a fault of the other side. The deadline is then extended by a grace period, in which the
 * response is read. The test is in `tests/transport/clients/http-client.test.ts`.
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

	/** Prevents the callback from running. */
	cancel(): void {
		clearTimeout(this.timer);
	}
}
