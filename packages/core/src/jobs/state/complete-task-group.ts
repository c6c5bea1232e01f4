import {type ReducerContext} from './reducer-context.js';
import {type TaskGroup} from './scheduler.js';

/**
 * Records that a task group is done, and completes its job if it was the last one. A long-running group is never done.
 *
 * @param context - the reducer context; its state is changed
 * @param group - the task group
 * @example
 * completeTaskGroup(context, group);
 */
export function completeTaskGroup(context: ReducerContext, group: TaskGroup): void {
	const {job, occurrence, step} = group;
	if (group.done || group.definition.longRunning) {
		return;
	}

	group.done = true;
	job.changes++;
	const steps = job.occurrences.get(occurrence) ?? [];
	const stepState = steps[step];
	if (stepState === undefined) {
		return;
	}

	stepState.remaining--;
	if (stepState.remaining === 0) {
		for (const later of steps) {
			later.readySince = later.groups[0]?.definition.after.includes(step) ? context.now : later.readySince;
		}
	}

	context.scheduler.dirtyJobs.add(job);
	if (steps.every(({remaining}) => remaining === 0)) {
		job.completedOccurrences++;
	}

	if (job.completedOccurrences >= Math.max(1, job.definition.repeatCount) && job.end === undefined) {
		job.end = {state: 'completed', endedAtMs: context.timeOfDay};
	}
}
