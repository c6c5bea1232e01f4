import {isOnTrial} from '../crashes/is-on-trial.js';
import {type Worker} from '../state/scheduler.js';

/**
 * Counts the tasks of a worker that may still crash it.
 *
 * @param worker - the worker
 * @returns the number of tasks that have been started only recently
 * @example
 * countTrials(worker) === 0;
 */
export function countTrials({tasks}: Worker): number {
	let count = 0;
	for (const task of tasks) {
		count += isOnTrial(task) ? 1 : 0;
	}

	return count;
}
