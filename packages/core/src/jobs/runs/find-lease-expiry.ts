import {type Worker} from '../state/scheduler.js';
import {measureLeaseWait} from './measure-lease-wait.js';

/**
 * Finds the local time from which all tasks that a worker ran under its last lease have definitely ended.
 *
 * @param worker - the worker
 * @returns local time in milliseconds
 * @example
 * findLeaseExpiry(worker) < now;
 */
export function findLeaseExpiry(worker: Worker): number {
	return worker.clockReadAt + measureLeaseWait(Math.max(0, worker.leaseUntilMs - worker.clockMs));
}
