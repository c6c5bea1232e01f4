import {type ActiveJob} from '../state/scheduler.js';
import {type StepRunTimes} from './estimates.js';
import {nameSketches} from './name-sketches.js';

/**
 * Gets the run times of the tasks of a step, over all occurrences of its job.
 *
 * @param job - the job; changed when the step has no run times yet
 * @param step - position of the step
 * @returns the run times
 * @example
 * getStepRunTimes(job, 0).ended.length;
 */
export function getStepRunTimes({definition, runTimes}: ActiveJob, step: number): StepRunTimes {
	const known = runTimes[step];
	if (known !== undefined) {
		return known;
	}

	const created: StepRunTimes = {
		names: nameSketches(definition, step), ended: [], projected: new Map(), error: undefined, isLearned: false, estimate: undefined,
	};
	runTimes[step] = created;
	return created;
}
