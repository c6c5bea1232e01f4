import {instanceListIntervalMs} from '../state/constants.js';
import {type Scheduler, type Worker} from '../state/scheduler.js';

/** Instances that may be listed in each `instanceListIntervalMs` because of a silent worker; larger lists are requested less often. */
const instancesPerInterval = 100;

/**
 * Tells whether the list of instances is to be requested. While a worker that may run tasks does not answer, it is requested
 * more often, since it shows whether the instance is still there.
 *
 * @param scheduler - the state
 * @param now - local time in milliseconds
 * @returns true if so
 * @example
 * isInstanceListDue(scheduler, now);
 */
export function isInstanceListDue(scheduler: Scheduler, now: number): boolean {
	const {instanceListPending, instanceListDueAt, instanceListRequestedAt, instances, workers} = scheduler;
	if (instanceListPending) {
		return false;
	}

	if (now >= instanceListDueAt) {
		return true;
	}

	const intervalMs = instanceListIntervalMs * Math.max(1, instances.size / instancesPerInterval);
	return now >= instanceListRequestedAt + intervalMs && [...workers.values()].some(worker => isSilent(worker, now));
}

function isSilent({instance, tasks, unreconciledUntil, unresponsive}: Worker, now: number): boolean {
	return instance !== '' && unresponsive && (tasks.size > 0 || now <= unreconciledUntil);
}
