import {type Evidence} from './combine-evidence.js';
import {computeMedian} from './compute-median.js';
import {type StepRunTimes} from './estimates.js';

/** Assumed variance of the run times of the tasks of one step, in log space: they differ by 15 to 30 %. */
const taskVariance = 0.0625;

/** The same for the run time that the progress of a running task projects; progress need not be even. */
const projectionVariance = 0.16;

/** Variance that no number of tasks of the step reduces, in log space. */
const remainingVariance = 0.0025;

/**
 * Estimates the run time of the tasks of a step from its own ended and running tasks. A task that takes several times as
 * long as the others barely moves the result.
 *
 * @param runTimes - run times of the step
 * @returns logarithm of the run time in milliseconds, with its variance; undefined when no task has ended or shown progress
 * @example
 * measureStep(getStepRunTimes(job, 0));
 */
export function measureStep({ended, projected}: StepRunTimes): Evidence | undefined {
	const precision = (ended.length / taskVariance) + (projected.size / projectionVariance);
	if (precision === 0) {
		return undefined;
	}

	return {mean: computeMedian([...ended.map(({value}) => value), ...projected.values()]), variance: (1 / precision) + remainingVariance};
}
