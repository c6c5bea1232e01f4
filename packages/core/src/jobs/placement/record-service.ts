import {type ReducerContext} from '../state/reducer-context.js';
import {type ActiveJob} from '../state/scheduler.js';

/**
 * Has a service stored with a job whose queue was sent there after the acceptance, so that the next owner knows where its
 * tasks may run. Nothing is written again while the write is under way.
 *
 * @param context - the reducer context; its state is changed
 * @param job - the job
 * @param service - the service to whose workers tasks are about to be sent
 * @example
 * recordService(context, job, 'planner');
 */
export function recordService({scheduler}: ReducerContext, job: ActiveJob, service: string): void {
	if (!job.otherServices.has(service)) {
		job.otherServices.add(service);
		scheduler.dirtyJobs.add(job);
	}
}
