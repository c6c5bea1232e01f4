import {leaseSlackMs, slowestClockRate} from '../state/constants.js';

/**
 * Measures how long a lease that begins now may last in local time, on the slowest clock of a worker.
 *
 * @param leaseMs - length of the lease on the worker's clock, in milliseconds
 * @returns milliseconds, after which its tasks have definitely ended
 * @example
 * worker.unreconciledUntil = now + measureLeaseWait(scheduler.leaseMs);
 */
export function measureLeaseWait(leaseMs: number): number {
	return (leaseMs / slowestClockRate) + leaseSlackMs;
}
