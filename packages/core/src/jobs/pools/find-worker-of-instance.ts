import {type Scheduler, type Worker} from '../state/scheduler.js';

/**
 * Finds the worker that runs on an instance.
 *
 * @param scheduler - the state
 * @param instance - id of the instance
 * @returns the worker, or undefined if none is known
 * @example
 * findWorkerOfInstance(scheduler, 'm-1');
 */
export function findWorkerOfInstance(scheduler: Scheduler, instance: string): Worker | undefined {
	for (const worker of scheduler.workers.values()) {
		if (worker.listing?.instance === instance) {
			return worker;
		}
	}

	return undefined;
}
