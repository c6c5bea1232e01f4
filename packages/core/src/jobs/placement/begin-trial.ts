import {type ReducerContext} from '../state/reducer-context.js';
import {type TaskGroup} from '../state/scheduler.js';

/**
 * Records that a suspected task has been started on a worker that gets no tasks but suspected ones for a time.
 *
 * @param context - the reducer context; its state is changed and an effect is added
 * @param group - the task group, which has been placed
 * @param options - whether the trial is shared with other suspected tasks
 * @example
 * beginTrial(context, group, {isShared: false});
 */
export function beginTrial({scheduler, now, effects}: ReducerContext, group: TaskGroup, {isShared}: {isShared: boolean}): void {
	group.isolation = {run: group.run, startedAt: now, isShared};
	group.emptying = undefined;
	scheduler.dirtyJobs.add(group.job);
	const [task] = group.tasks;
	effects.push({
		type: 'log', level: 'info', event: 'task-isolated', fields: {
			task: task?.id, run: group.run, worker: task?.worker?.id, crashes: group.crashedRuns.size, suspects: group.suspectCount, isShared,
		},
	});
}
