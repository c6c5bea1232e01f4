import {
	crashLimit, gangCrashLimit, suspicionLimit, unconfirmedCrashLimit,
} from '../state/constants.js';
import {giveUpTask} from '../runs/give-up-task.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type LostRun} from '../state/scheduler.js';
import {isSiblingProven} from './is-sibling-proven.js';
import {listStoredCrashes} from './list-stored-crashes.js';

/**
 * Counts the crash of a worker for a run that it had. The job fails if its task has crashed workers on which it ran in
 * isolation; crashes on shared workers only lead to a run in isolation.
 *
 * @param context - the reducer context; its state is changed
 * @param lost - the run
 * @example
 * countCrash(context, lost);
 */
export function countCrash(context: ReducerContext, lost: LostRun): void {
	const {task, run, recent, isolated, isShared} = lost;
	const {group} = task;
	const {job, crashedRuns} = group;
	if (group.done || job.end !== undefined || job.cancelled || crashedRuns.has(run)) {
		return;
	}

	group.hasFailedSharedTrial ||= isShared;
	// A crash in a shared trial speaks against all of its tasks alike: they are tried alone before it counts for one of them.
	if (!isShared || crashedRuns.size === 0) {
		crashedRuns.add(run);
	}

	group.earliestStartAt = isolated ? 0 : group.earliestStartAt;
	group.suspected ||= ((recent && !isSiblingProven(group)) || crashedRuns.size >= suspicionLimit) && group.tasks.length === 1;
	if (listStoredCrashes(group).length > 0) {
		context.scheduler.dirtyJobs.add(job);
	}

	if (isToBlame(lost)) {
		giveUpTask(context, group);
	}
}

function isToBlame({task: {group}, isolated, confirmed}: LostRun): boolean {
	// A long-running task is started again however it ends; in isolation, it takes no other task down with its worker.
	if (group.definition.longRunning) {
		return false;
	}

	if (group.tasks.length > 1) {
		return group.crashedRuns.size >= gangCrashLimit;
	}

	return isolated && group.crashedRuns.size >= (confirmed ? crashLimit : unconfirmedCrashLimit);
}
