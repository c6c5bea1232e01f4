import {type ReducerContext} from './reducer-context.js';
import {type ActiveJob} from './scheduler.js';

/**
 * Removes a job whose end is stored from memory. If tasks of it are still being stopped, the job stays, and housekeeping
 * tries again. A task of a removed job that appears in a report is stopped as well.
 *
 * @param context - the reducer context; its state is changed
 * @param job - the job
 * @example
 * removeJob(context, job);
 */
export function removeJob({scheduler, now}: ReducerContext, job: ActiveJob): void {
	const groups = [...job.occurrences.values()].flat().flatMap(step => step.groups);
	if (groups.some(({tasks}) => tasks.some(({state}) => state !== 'unassigned'))) {
		scheduler.endingJobs.add(job);
		return;
	}

	for (const {tasks} of groups) {
		for (const {id} of tasks) {
			scheduler.tasks.delete(id);
		}
	}

	scheduler.endingJobs.delete(job);
	scheduler.jobs.delete(job.definition.id);
	scheduler.endedJobs.set(job.definition.id, now);
}
