import {type ReducerContext} from '../state/reducer-context.js';
import {type TaskGroup} from '../state/scheduler.js';

/**
 * Clears the suspicion of the tasks that were lost in the crashes of a task which is given up: that task explains these
 * crashes. Those during which another worker crashed stay suspected.
 *
 * @param context - the reducer context; its state is changed
 * @param culprit - the task group that is given up
 * @example
 * clearExplainedCrashes(context, group);
 */
export function clearExplainedCrashes({scheduler}: ReducerContext, culprit: TaskGroup): void {
	const explained = scheduler.crashes.filter(({runs}) => runs.some(({group}) => group.job === culprit.job));
	for (const {runs} of explained) {
		scheduler.crashes.splice(scheduler.crashes.findIndex(crash => crash.runs === runs), 1);
		for (const {group, run} of runs) {
			if (group.job !== culprit.job && group.suspected && group.crashedRuns.has(run)) {
				// The count stays: a second task at fault may have been among them.
				group.suspected = group.crashedRuns.size > 1;
				scheduler.dirtyJobs.add(group.job);
			}
		}
	}
}
