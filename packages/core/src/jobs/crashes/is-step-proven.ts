import {type StepState} from '../state/scheduler.js';
import {isHarmless} from './is-harmless.js';
import {isOnTrial} from './is-on-trial.js';

/**
 * Tells whether a task of a step has shown that it does not crash its worker: it is done, or has run for a time, or for
 * longer if it is long-running. The tasks of a step are mostly alike, so the others may start together.
 *
 * @param step - the step
 * @returns true if one of its tasks has
 * @example
 * if (!isStepProven(step)) { … }
 */
export function isStepProven({groups}: StepState): boolean {
	return groups.some(({done, tasks, definition}) => done || tasks.some(task => {
		const {state, worker, startOrders, seenRunningAt} = task;
		if (worker === undefined || state !== 'running') {
			return false;
		}

		// Of a run that a former owner started, the time of the start is not known.
		return definition.longRunning ? isHarmless(task, seenRunningAt) : startOrders > 0 && !isOnTrial(task);
	}));
}
