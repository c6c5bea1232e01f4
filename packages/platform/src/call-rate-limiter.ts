/**
 * Budget of store calls of one process: a token bucket. The store handles about 2,000 reads and
 * several hundred writes a second across all callers, so that no process may use it up alone.
 */

const defaultCallsPerSecond = 200;
const defaultBurst = 200;
const millisecondsPerSecond = 1000;

export class CallBudget {
	calls = 0;
	/** Calls refused because the budget was used up. */
	refused = 0;
	readonly #callsPerSecond: number;
	readonly #burst: number;
	#tokens: number;
	#filledAt = Number.NEGATIVE_INFINITY;

	constructor(options: {callsPerSecond?: number; burst?: number} = {}) {
		const {callsPerSecond = defaultCallsPerSecond, burst = defaultBurst} = options;
		this.#callsPerSecond = callsPerSecond;
		this.#burst = burst;
		this.#tokens = burst;
	}

	/** Takes one call from the budget; `at` is in milliseconds. */
	take(at: number): boolean {
		const elapsed = Math.max(0, at - this.#filledAt);
		this.#tokens = Math.min(this.#burst, this.#tokens + ((elapsed * this.#callsPerSecond) / millisecondsPerSecond));
		this.#filledAt = at;
		if (this.#tokens < 1) {
			this.refused += 1;
			return false;
		}

		this.#tokens -= 1;
		this.calls += 1;
		return true;
	}
}
