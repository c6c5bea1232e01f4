import {type Scheduler, type Task} from '../state/scheduler.js';
import {computeMedian} from './compute-median.js';
import {getStepRunTimes} from './get-step-run-times.js';
import {predictStep} from './predict-step.js';

/** Tasks of the same step on other workers from which these alone are the reference. */
const minimumPeers = 2;

/** Largest variance of a prediction that a run is compared with, in log space; a larger one could pass for a slow worker. */
const maximumVariance = 0.1;

/**
 * Finds the run time that a run is compared with: that of tasks of the same step on other workers or, without these,
 * what was learned of other steps.
 *
 * @param scheduler - the state
 * @param task - the task
 * @returns logarithms of the run time in milliseconds, and of what was learned of other steps if it is precise enough; undefined if there is nothing to compare with
 * @example
 * findPeerRunTime(scheduler, task);
 */
export function findPeerRunTime(scheduler: Scheduler, task: Task): {readonly expected: number; readonly predicted: number | undefined} | undefined {
	const {job, step} = task.group;
	const {ended, projected} = getStepRunTimes(job, step);
	const values: number[] = [];
	for (const {worker, value} of ended) {
		if (worker !== task.worker?.id) {
			values.push(value);
		}
	}

	for (const [other, value] of projected) {
		if (other.worker !== task.worker) {
			values.push(value);
		}
	}

	const prediction = predictStep(scheduler, job, step);
	const predicted = prediction !== undefined && prediction.variance <= maximumVariance ? prediction.mean : undefined;
	const expected = values.length >= minimumPeers ? computeMedian(values) : predicted;
	return expected === undefined ? undefined : {expected, predicted};
}
