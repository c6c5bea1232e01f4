import {type Scheduler, type Task} from '../state/scheduler.js';

/**
 * Finds the state of a run of a task: that of its duplicate run if the number is the duplicate's, otherwise that of the
 * task itself. The caller checks the worker and the run, since the run may be neither of the two.
 *
 * @param scheduler - the state
 * @param order - identifier of the task and number of the run
 * @returns the state; undefined if the task is not known
 * @example
 * findRun(scheduler, {task: 'a.0.0.1', run: 2})?.worker;
 */
export function findRun({tasks}: Pick<Scheduler, 'tasks'>, {task: id, run}: {readonly task: string; readonly run: number}): Task | undefined {
	const task = tasks.get(id);
	return task?.duplicate?.run === run ? task.duplicate : task;
}
