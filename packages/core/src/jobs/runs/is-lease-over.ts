import {type Worker} from '../state/scheduler.js';
import {findLeaseExpiry} from './find-lease-expiry.js';

/**
 * Tells whether a worker that does not answer can't run any task: its last lease has expired, and it gets no other one
 * before it answers. The next owner need not wait for its report.
 *
 * @param worker - the worker
 * @param now - local time in milliseconds
 * @returns true if so
 * @example
 * isLeaseOver(worker, now);
 */
export function isLeaseOver(worker: Worker, now: number): boolean {
	return worker.unresponsive && worker.tasks.size === 0 && now > worker.unreconciledUntil && now > findLeaseExpiry(worker);
}
