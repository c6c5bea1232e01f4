import {type Worker} from '../state/scheduler.js';
import {countTrials} from './count-trials.js';

/** Maximum number of tasks on a worker that may crash it; after a crash, each of them runs in isolation. */
const maximumTrials = 4;

/**
 * Tells whether one more task that may crash its worker can be tried on a worker.
 *
 * @param worker - the worker
 * @returns false if enough such tasks run there
 * @example
 * trialWorkers.filter(worker => hasRoomForTrial(worker));
 */
export function hasRoomForTrial(worker: Worker): boolean {
	return countTrials(worker) < maximumTrials;
}
