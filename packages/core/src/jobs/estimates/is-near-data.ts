import {type Task, type Worker} from '../state/scheduler.js';

/**
 * Tells whether a task runs where its step asks for: on the rack of its data, and on one rack with the other tasks of its group.
 *
 * @param task - the task
 * @param worker - the worker that it runs on
 * @returns false if it runs elsewhere, and is slower for this reason
 * @example
 * isNearData(task, worker);
 */
export function isNearData({group}: Task, worker: Worker): boolean {
	const {affinity, sameRack} = group.definition;
	const rack = worker.listing?.rack;
	if (!sameRack) {
		return affinity === '' || affinity === rack;
	}

	return group.job.occurrences.get(group.occurrence)?.[group.step]?.groups.every(({tasks}) => tasks.every(other => other.worker === undefined || other.worker.listing?.rack === rack)) ?? true;
}
