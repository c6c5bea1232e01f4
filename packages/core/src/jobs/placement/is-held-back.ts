import {type StepState} from '../state/scheduler.js';

/**
 * Tells whether the tasks of a step wait for one of them that may crash its worker. They are identical, so the others would
 * crash theirs as well. Long-running tasks have to be up soon and do not wait.
 *
 * @param step - the step
 * @returns true if they wait
 * @example
 * if (isHeldBack(step)) { … }
 */
export function isHeldBack({groups}: StepState): boolean {
	return groups.some(({suspected, done, definition}) => suspected && !done && !definition.longRunning);
}
