import {type ReducerContext} from './reducer-context.js';
import {type ActiveJob} from './scheduler.js';
import {stopJob} from './stop-job.js';

/**
 * Marks a job as failed and stops its tasks.
 *
 * @param context - the reducer context; its state is changed
 * @param job - the job
 * @example
 * failJob(context, job);
 */
export function failJob(context: ReducerContext, job: ActiveJob): void {
	if (job.end !== undefined || job.cancelled) {
		return;
	}

	job.end = {state: 'failed', endedAtMs: context.timeOfDay};
	context.scheduler.dirtyJobs.add(job);
	stopJob(context, job);
}
