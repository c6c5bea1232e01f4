import {lateCallMs, unseenRestartMs} from '../state/constants.js';
import {type Scheduler, type Task} from '../state/scheduler.js';
import {measureLeaseWait} from './measure-lease-wait.js';

/**
 * Finds the local time until which a task with an unanswered start order may run although the lease of its silent worker
 * has expired. A restart of the worker that nobody has seen leaves the order to an incarnation on whose clock the expiry
 * of the lease may lie far ahead, so that it holds the longest lease.
 *
 * @param scheduler - the state
 * @param task - the task
 * @returns local time in milliseconds; `-Infinity` if all its start orders are answered or too old to be carried out
 * @example
 * findOpenStartExpiry(scheduler, task) < now;
 */
export function findOpenStartExpiry({longestLeaseMs}: Scheduler, {worker, openStartOrders, lastOrderAt}: Task): number {
	if (worker === undefined || openStartOrders === 0 || worker.lastResponseAt > lastOrderAt + lateCallMs) {
		return Number.NEGATIVE_INFINITY;
	}

	return Math.max(worker.leaseSentAt + unseenRestartMs, worker.locatedAt) + measureLeaseWait(longestLeaseMs);
}
