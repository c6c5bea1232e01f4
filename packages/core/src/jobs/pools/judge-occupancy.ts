import {entryReturnMs} from '../state/constants.js';
import {type Worker} from '../state/scheduler.js';

/**
 * Whether tasks run on an instance. `unknown`: a worker there may run tasks of a former owner and has not answered this one;
 * it answers, its lease expires, or its entry in the store stays away.
 */
export type Occupancy = 'empty' | 'occupied' | 'unknown';

/**
 * Judges whether tasks run on an instance, so that it must not go down, move or reboot yet.
 *
 * @param workers - the workers that may run tasks there
 * @param now - local time in milliseconds
 * @returns `empty` only if no task can be at work there, but on a worker that is gone
 * @example
 * judgeOccupancy(groupWorkersByInstance(scheduler, now).get('m-1') ?? [], now) === 'empty';
 */
export function judgeOccupancy(workers: readonly Worker[], now: number): Occupancy {
	if (workers.some(({tasks}) => tasks.size > 0)) {
		return 'occupied';
	}

	return workers.some(worker => mayRunUnknownTasks(worker, now)) ? 'unknown' : 'empty';
}

function mayRunUnknownTasks({listing, unlistedAt, unreconciledUntil}: Worker, now: number): boolean {
	return now <= unreconciledUntil && (listing !== undefined || now - unlistedAt <= entryReturnMs);
}
