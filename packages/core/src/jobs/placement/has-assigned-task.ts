import {type StepState} from '../state/scheduler.js';

/**
 * Tells whether a task of a step is running or being started.
 *
 * @param step - the step
 * @returns true if one is
 * @example
 * hasAssignedTask(step);
 */
export function hasAssignedTask({groups}: StepState): boolean {
	return groups.some(({done, tasks}) => !done && tasks.some(({state}) => state !== 'unassigned'));
}
