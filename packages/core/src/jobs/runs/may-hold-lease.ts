import {type Worker} from '../state/scheduler.js';
import {findLeaseExpiry} from './find-lease-expiry.js';

/**
 * Tells whether a worker may hold a lease of this owner or of a former one, or may get one as soon as it answers.
 *
 * @param worker - the worker
 * @param now - local time in milliseconds
 * @returns false if the store lists it no more and everything that it ran has definitely ended
 * @example
 * [...scheduler.workers.values()].filter(worker => mayHoldLease(worker, now));
 */
export function mayHoldLease(worker: Worker, now: number): boolean {
	const {listing, tasks, unreconciledUntil} = worker;
	return listing !== undefined || tasks.size > 0 || now <= unreconciledUntil || now <= findLeaseExpiry(worker);
}
