/**
 * Token bucket that limits the store calls of one process. The store handles about 2,000 reads and several hundred writes
 * a second across all callers, so no single process may use up its capacity: the default limit is a tenth of the reads.
 */

const defaultCallsPerSecond = 200;
const defaultBurst = 200;
const millisecondsPerSecond = 1000;

export class CallRateLimiter {
	/** Number of calls that obtained a token. */
	admittedCalls = 0;
	/** Number of calls refused because the bucket was empty. */
	refusedCalls = 0;
	readonly #callsPerSecond: number;
	readonly #burst: number;
	#tokens: number;
	#refilledAt = Number.NEGATIVE_INFINITY;

	constructor(options: {callsPerSecond?: number; burst?: number} = {}) {
		const {callsPerSecond = defaultCallsPerSecond, burst = defaultBurst} = options;
		this.#callsPerSecond = callsPerSecond;
		this.#burst = burst;
		this.#tokens = burst;
	}

	/** Takes a token for one call, and returns whether one was available. `at` is a monotonic time in milliseconds. */
	tryAcquire(at: number): boolean {
		const elapsed = Math.max(0, at - this.#refilledAt);
		this.#tokens = Math.min(this.#burst, this.#tokens + ((elapsed * this.#callsPerSecond) / millisecondsPerSecond));
		this.#refilledAt = at;
		if (this.#tokens < 1) {
			this.refusedCalls += 1;
			return false;
		}

		this.#tokens -= 1;
		this.admittedCalls += 1;
		return true;
	}
}
