import {type Scheduler, type TaskGroup} from '../state/scheduler.js';
import {type ImageRecord} from './image-record.js';

/** Crashes under a task of a sound image from which it is suspected: one crash of a shared worker is more likely the fault of another task or of the worker. */
const soundSuspicionLimit = 2;

const rules: Record<ImageRecord | 'unknown', (group: TaskGroup) => boolean> = {
	unknown: ({suspected}) => suspected,
	mixed: ({suspected}) => suspected,
	sound: ({suspected, crashedRuns}) => suspected && crashedRuns.size >= soundSuspicionLimit,
	suspect: mayCrash,
	crashing: mayCrash,
};

/** Gangs have no run in isolation, and long-running tasks have to be up soon. */
function mayCrash({suspected, tasks, definition}: TaskGroup): boolean {
	return suspected || (tasks.length === 1 && !definition.longRunning);
}

/**
 * Tells whether a task has to run in isolation, by the crashes under it and by what is known of its image.
 *
 * @param scheduler - the state
 * @param group - the task group
 * @returns true if so
 * @example
 * isSuspect(scheduler, group);
 */
export function isSuspect({estimates}: Scheduler, group: TaskGroup): boolean {
	return rules[estimates.images.get(group.definition.image) ?? 'unknown'](group);
}
