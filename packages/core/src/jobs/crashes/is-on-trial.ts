import {type Task} from '../state/scheduler.js';
import {provenMs} from './proven-ms.js';

/**
 * Tells whether a task has been started so recently that it may still crash its worker.
 *
 * @param task - the task
 * @returns false if it is unassigned, long-running, or its worker has shown it some time after the start
 * @example
 * [...worker.tasks].filter(task => isOnTrial(task)).length;
 */
export function isOnTrial({state, worker, lastOrderAt, seenRunningAt, group}: Task): boolean {
	return worker !== undefined && !group.definition.longRunning && (state === 'starting' || (state === 'running' && seenRunningAt - lastOrderAt < provenMs));
}
