/** Steady time in milliseconds, the time of day, and timers. */
export interface TimePort {
	now(): number;
	date(): Date;
	after(ms: number, run: () => void): { cancel(): void };
}
