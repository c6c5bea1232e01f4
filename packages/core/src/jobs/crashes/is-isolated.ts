import {isolationMs} from '../state/constants.js';
import {type Task} from '../state/scheduler.js';

/**
 * Tells whether a task runs in isolation, so that nothing else may be started on its worker.
 *
 * @param task - the task
 * @param now - local time in milliseconds
 * @returns true while it does
 * @example
 * [...worker.tasks].some(task => isIsolated(task, now));
 */
export function isIsolated({run, state, group}: Task, now: number): boolean {
	const {isolation, crashedRuns} = group;
	return isolation !== undefined && state !== 'unassigned' && isolation.run === run && now - isolation.startedAt < isolationMs * Math.max(1, crashedRuns.size);
}
