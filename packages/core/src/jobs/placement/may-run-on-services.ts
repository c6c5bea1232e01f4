import {type ActiveJob} from '../state/scheduler.js';
import {unknownService} from './list-unreconciled-services.js';

/**
 * Tells whether a former owner may have sent tasks of a job to workers of certain services. The present configuration does
 * not tell: the queue may have belonged to another service since.
 *
 * @param job - the job
 * @param services - the services; `unknownService` stands for any
 * @returns true if they may
 * @example
 * mayRunOnServices(job, listUnreconciledServices(scheduler, now));
 */
export function mayRunOnServices({recovered, definition, otherServices}: ActiveJob, services: ReadonlySet<string>): boolean {
	return recovered && [unknownService, definition.service, ...otherServices].some(service => services.has(service));
}
