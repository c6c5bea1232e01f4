import {slowestClockRate} from '../state/constants.js';
import {type Worker} from '../state/scheduler.js';

/**
 * Computes the expiry of a new lease on the worker's clock and records it, and that it is sent now. The worker keeps the
 * latest expiry that it was sent. A new lease is at most as long as its duration even on the slowest clock, and however long
 * a lease the worker may still hold, because the next owner may reckon with this length only.
 *
 * @param worker - the worker; changed
 * @param now - local time in milliseconds
 * @param leaseMs - duration of the lease
 * @returns expiry of the lease on the worker's clock, in whole milliseconds
 * @example
 * extendLease(worker, now, 5000);
 */
export function extendLease(worker: Worker, now: number, leaseMs: number): number {
	const clock = worker.clockMs + (Math.max(0, now - worker.clockReadAt) * slowestClockRate);
	const expiry = Math.floor(clock + leaseMs);
	worker.leaseUntilMs = Math.max(worker.leaseUntilMs, expiry);
	worker.leaseSentAt = now;
	return expiry;
}
