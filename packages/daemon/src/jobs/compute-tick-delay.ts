/** Shortest delay: events that arrive within this time are followed by a single tick. */
const shortestDelayMs = 3;

/** Longest delay, the interval of ticks without events. */
const longestDelayMs = 40;

/** Pause after a tick as a multiple of its duration, so that ticks take at most a tenth of the processor time, and more only if they last so long that the longest delay applies; orders and reports of a burst need most of it. */
const pauseFactor = 9;

/**
 * Computes how long after an event the next tick follows. Answers bursts that exceed the capacity: reports and answers then
 * cause some hundred events a second, and a tick, which orders and places all waiting jobs, takes several milliseconds on a
 * small instance. Without a pause, ticks took the processor time that orders and reports need.
 *
 * @param previousTickMs - duration of the previous tick in milliseconds
 * @returns delay in milliseconds
 * @example
 * computeTickDelay(2); // 18
 */
export function computeTickDelay(previousTickMs: number): number {
	return Math.min(longestDelayMs, Math.max(shortestDelayMs, previousTickMs * pauseFactor));
}
