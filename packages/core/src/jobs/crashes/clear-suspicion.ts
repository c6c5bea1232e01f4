import {findQueuePolicy} from '../state/find-queue-policy.js';
import {type TaskGroup} from '../state/scheduler.js';
import {type ReducerContext} from '../state/reducer-context.js';

/**
 * Clears the suspicion of the tasks of a step when one of them is done after a run in isolation. The tasks of a step are
 * identical, so those during which only one worker crashed need no isolation either. Notes that a trial has been survived.
 *
 * @param context - the reducer context; its state is changed
 * @param group - the task group that is done
 * @param run - the run that is done
 * @example
 * clearSuspicion(context, group, ended.run);
 */
export function clearSuspicion({scheduler}: ReducerContext, group: TaskGroup, run: number): void {
	const {job, occurrence, step, isolation} = group;
	if (isolation?.run !== run || scheduler.jobs.get(job.definition.id) !== job) {
		return;
	}

	const {service} = findQueuePolicy(scheduler, job);
	scheduler.survivedTrials.set(service, (scheduler.survivedTrials.get(service) ?? 0) + 1);
	for (const sibling of job.occurrences.get(occurrence)?.[step]?.groups ?? []) {
		sibling.suspected &&= sibling.crashedRuns.size > 1;
	}
}
