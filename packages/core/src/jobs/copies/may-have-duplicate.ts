import {type TaskGroup} from '../state/scheduler.js';

/**
 * Tells whether a task may have a duplicate run: its step allows it, and the task is a single one that ends. Best-effort
 * tasks have none, because they are slow by design.
 *
 * @param group - the task group
 * @returns true if the step allows two runs at the same time
 * @example
 * mayHaveDuplicate(task.group);
 */
export function mayHaveDuplicate({definition}: Pick<TaskGroup, 'definition'>): boolean {
	const {allowDuplicates, gang, longRunning, fills} = definition;
	return allowDuplicates && !gang && !longRunning && !fills;
}
