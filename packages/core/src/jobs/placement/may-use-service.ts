import {type ActiveJob} from '../state/scheduler.js';

/**
 * Tells whether tasks of a job may be sent to workers of a service: only where the next owner will look for them.
 *
 * @param job - the job
 * @param service - the service to which its queue belongs now
 * @returns false for a service other than that of the acceptance until it is stored with the job
 * @example
 * mayUseService(job, findQueuePolicy(scheduler, job).service);
 */
export function mayUseService({definition, storedServices}: ActiveJob, service: string): boolean {
	return service === definition.service || storedServices.has(service);
}
