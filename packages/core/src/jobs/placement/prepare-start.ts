import {forgetRecordedRun} from '../runs/forget-recorded-run.js';
import {isUnassigned} from '../state/is-unassigned.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type TaskGroup} from '../state/scheduler.js';
import {mayStillRun} from './may-still-run.js';

/**
 * Prepares the start of a task group: it must not be assigned or in a pause, must not run on a worker that has not answered,
 * and the store must not name a run of it. A stored run that has ended is removed from the store, which takes a write.
 *
 * @param context - the reducer context; a job may be marked to be stored
 * @param group - the task group
 * @returns true if it can be started now
 * @example
 * step.groups.filter(group => prepareStart(context, group));
 */
export function prepareStart(context: ReducerContext, group: TaskGroup): boolean {
	const {scheduler, now} = context;
	if (!isUnassigned(group) || group.earliestStartAt > now || mayStillRun(scheduler, group, {unreconciledServices: scheduler.unreconciledServices, now})) {
		return false;
	}

	if (group.recordedRun !== undefined) {
		forgetRecordedRun(context, group);
	}

	return !group.mayHaveStoredRun;
}
