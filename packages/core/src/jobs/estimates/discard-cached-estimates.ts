import {type ActiveJob} from '../state/scheduler.js';

/**
 * Discards the cached estimates of a job after one of its tasks has ended or progressed.
 *
 * @param job - the job; changed
 * @example
 * discardCachedEstimates(job);
 */
export function discardCachedEstimates({runTimes}: ActiveJob): void {
	for (const step of runTimes) {
		if (step !== undefined) {
			step.estimate = undefined;
		}
	}
}
