import {type Worker} from './scheduler.js';

/**
 * Computes the expiry of a new lease on the worker's clock and records it. A lease is never shortened.
 *
 * @param worker - the worker; changed
 * @param now - local time in milliseconds
 * @param leaseMs - duration of the lease
 * @returns expiry of the lease on the worker's clock, in whole milliseconds
 * @example
 * extendLease(worker, now, 5000);
 */
export function extendLease(worker: Worker, now: number, leaseMs: number): number {
	const clock = worker.clockMs + Math.max(0, now - worker.clockReadAt);
	worker.leaseUntilMs = Math.max(worker.leaseUntilMs, Math.floor(clock + leaseMs));
	return worker.leaseUntilMs;
}
