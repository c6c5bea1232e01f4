import {type ReducerContext} from '../state/reducer-context.js';
import {type TaskGroup} from '../state/scheduler.js';

/**
 * Forgets the crashes under a task group, which has shown since that it does not crash its worker.
 *
 * @param context - the reducer context; its state is changed
 * @param group - the task group
 * @example
 * forgetCrashes(context, group);
 */
export function forgetCrashes(context: ReducerContext, group: TaskGroup): void {
	group.suspected = false;
	if (group.crashedRuns.size > 0) {
		group.crashedRuns.clear();
		context.scheduler.dirtyJobs.add(group.job);
	}
}
