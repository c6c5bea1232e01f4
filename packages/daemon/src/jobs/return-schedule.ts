/** Shortest and longest `Retry-After` of a refusal for load, in seconds. The forecast is the best case, and bursts last some seconds, so a longer one would leave capacity unused. */
const minimumRetryAfterSeconds = 1;
const maximumRetryAfterSeconds = 30;

const millisecondsPerSecond = 1000;

/** Number of queues for which a return is kept; a configuration has some tens of them. */
const maximumQueues = 1000;

type Return = {
	/** Name of the queue. */
	readonly queue: string;
	/** Time until there is room by the forecast, in milliseconds. */
	readonly roomInMs: number;
	/** Time that the service needs for the job, in milliseconds. */
	readonly serviceMs: number;
	/** Local monotonic time in milliseconds. */
	readonly now: number;
};

/**
 * Schedule of the returns of refused callers, by queue. Each refusal moves the next return back by the time that its job
 * takes, so that those refused first return first.
 */
export class ReturnSchedule {
	readonly #nextReturnAt = new Map<string, number>();

	/** Adds a refusal and returns its `Retry-After` in whole seconds. */
	add({queue, roomInMs, serviceMs, now}: Return): number {
		if (this.#nextReturnAt.size > maximumQueues) {
			this.#nextReturnAt.clear();
		}

		const earliest = now + roomInMs;
		const latest = now + (maximumRetryAfterSeconds * millisecondsPerSecond);
		const returnAt = Math.min(latest, Math.max(earliest, this.#nextReturnAt.get(queue) ?? 0));
		// Estimates come from callers: a huge one must not keep others away for longer than the longest `Retry-After`.
		this.#nextReturnAt.set(queue, Math.min(latest, returnAt + serviceMs));
		return Math.min(maximumRetryAfterSeconds, Math.max(minimumRetryAfterSeconds, Math.ceil((returnAt - now) / millisecondsPerSecond)));
	}
}
