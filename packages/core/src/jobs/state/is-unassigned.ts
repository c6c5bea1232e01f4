import {type TaskGroup} from './scheduler.js';

/**
 * Tells whether a task group has work left and none of its tasks is assigned to a worker.
 *
 * @param group - the task group
 * @returns true if it waits to be placed
 * @example
 * step.groups.filter(group => isUnassigned(group));
 */
export function isUnassigned({done, tasks}: TaskGroup): boolean {
	return !done && tasks.every(({state}) => state === 'unassigned');
}
