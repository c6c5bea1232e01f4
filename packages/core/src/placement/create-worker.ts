import {type ListedInstance} from '../node/event.js';
import {type Worker} from './placement.js';

/**
 * Creates the state of a worker that is listed for the first time.
 *
 * @param instance - the listed instance
 * @returns the worker, healthy and without running tasks
 * @example
 * const worker = createWorker(instance);
 */
export function createWorker(instance: ListedInstance): Worker {
	return {
		instance,
		running: 0,
		reportedRunning: 0,
		reportedAt: Number.NEGATIVE_INFINITY,
		runningAtReport: 0,
		failureRate: 0,
		health: 'healthy',
		ejectedUntil: Number.NEGATIVE_INFINITY,
		ejections: 0,
		probesPassed: 0,
		reinstatedAt: Number.NEGATIVE_INFINITY,
		leavingAt: Number.NEGATIVE_INFINITY,
		fullAt: Number.NEGATIVE_INFINITY,
	};
}
