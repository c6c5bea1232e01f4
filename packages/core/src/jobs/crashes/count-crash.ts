import {
	crashLimit, gangCrashLimit, suspicionLimit, unconfirmedCrashLimit,
} from '../state/constants.js';
import {giveUpTask} from '../runs/give-up-task.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type LostRun} from '../state/scheduler.js';
import {listStoredCrashes} from './list-stored-crashes.js';
import {recordImage} from './record-image.js';

/**
 * Counts the crash of a worker for a run that it had. The job fails if its task has crashed workers on which it ran in
 * isolation; crashes on shared workers only lead to a run in isolation. If its image is known to crash workers, the first
 * crash in isolation is enough.
 *
 * @param context - the reducer context; its state is changed
 * @param lost - the run
 * @example
 * countCrash(context, lost);
 */
export function countCrash(context: ReducerContext, lost: LostRun): void {
	const {task, run, recent, isolated} = lost;
	const {group} = task;
	const {job, crashedRuns} = group;
	if (group.done || job.end !== undefined || job.cancelled || crashedRuns.has(run)) {
		return;
	}

	crashedRuns.add(run);
	group.earliestStartAt = isolated ? 0 : group.earliestStartAt;
	group.suspected ||= (recent || crashedRuns.size >= suspicionLimit) && group.tasks.length === 1;
	if (listStoredCrashes(group).length > 0) {
		context.scheduler.dirtyJobs.add(job);
	}

	const isKnownToCrash = context.scheduler.estimates.images.get(group.definition.image) === 'crashing';
	if (isolated && lost.confirmed) {
		recordImage(context, group, 'crashed');
	} else if (group.suspected) {
		recordImage(context, group, 'lost');
	}

	if (isToBlame(lost, isKnownToCrash)) {
		giveUpTask(context, group);
	}
}

function isToBlame({task: {group}, isolated, confirmed}: LostRun, isKnownToCrash: boolean): boolean {
	if (group.tasks.length > 1) {
		return group.crashedRuns.size >= gangCrashLimit;
	}

	return isolated && ((confirmed && isKnownToCrash) || group.crashedRuns.size >= (confirmed ? crashLimit : unconfirmedCrashLimit));
}
