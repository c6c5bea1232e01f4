import {type Task, type TaskGroup} from '../state/scheduler.js';

/**
 * Lists the tasks of a group and their duplicate runs.
 *
 * @param group - the task group
 * @returns the tasks, each followed by its duplicate run if it has one
 * @example
 * listRuns(group).filter(({worker}) => worker !== undefined);
 */
export function listRuns({tasks}: Pick<TaskGroup, 'tasks'>): Task[] {
	return tasks.flatMap(task => task.duplicate === undefined ? [task] : [task, task.duplicate]);
}
