import {findQueuePolicy} from '../state/find-queue-policy.js';
import {type ActiveJob, type Scheduler} from '../state/scheduler.js';
import {unknownService} from './list-unreconciled-services.js';

/**
 * Tells whether tasks of a job may still run on a worker that has not answered since the takeover.
 *
 * @param scheduler - the state
 * @param job - the job
 * @param unreconciledServices - services of such workers
 * @returns true if they may
 * @example
 * mayStillRun(scheduler, job, listUnreconciledServices(scheduler, now));
 */
export function mayStillRun(scheduler: Scheduler, job: ActiveJob, unreconciledServices: ReadonlySet<string>): boolean {
	return unreconciledServices.has(unknownService) || unreconciledServices.has(job.definition.service) || unreconciledServices.has(findQueuePolicy(scheduler, job).service);
}
