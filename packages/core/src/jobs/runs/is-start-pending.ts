import {findRun} from '../copies/find-run.js';
import {type Scheduler} from '../state/scheduler.js';

/**
 * Tells whether a run is still to be started on a worker: it has not been released or stopped, and no order to start it
 * has been accepted.
 *
 * @param scheduler - the state
 * @param order - the worker, the task and the number of the run
 * @returns true if the order is still wanted
 * @example
 * isStartPending(scheduler, {worker: 'w1', task: 'a.0.0.0', run: 1});
 */
export function isStartPending(scheduler: Scheduler, order: {readonly worker: string; readonly task: string; readonly run: number}): boolean {
	const task = findRun(scheduler, order);
	return task?.state === 'starting' && task.worker?.id === order.worker && task.run === order.run;
}
