import {type ReducerContext} from '../state/reducer-context.js';
import {type TaskGroup} from '../state/scheduler.js';

/**
 * Has the stored run of a task group removed, since it has ended. Another run can be ordered once that is stored.
 *
 * @param context - the reducer context; its state is changed
 * @param group - the task group
 * @example
 * forgetRecordedRun(context, group);
 */
export function forgetRecordedRun({scheduler}: ReducerContext, group: TaskGroup): void {
	group.recordedRun = undefined;
	if (group.job.end === undefined) {
		scheduler.dirtyJobs.add(group.job);
	}
}
