import {isolationMs} from '../state/constants.js';
import {type Task} from '../state/scheduler.js';

/**
 * Tells whether a long-running task has been up for so long that it does not count as the cause of a crash of its worker.
 *
 * @param task - the task
 * @param now - local time in milliseconds up to which its worker is known to have run
 * @returns true if so; always false for other tasks
 * @example
 * isHarmless(task, worker.lastResponseAt);
 */
export function isHarmless({state, percent, progressedAt, group}: Task, now: number): boolean {
	return group.definition.longRunning && state === 'running' && percent >= 100 && now - progressedAt >= isolationMs;
}
