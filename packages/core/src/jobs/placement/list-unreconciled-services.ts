import {type Scheduler} from '../state/scheduler.js';

/** Stands for the service of a worker that the store no longer lists; it may run tasks of any service. */
export const unknownService = '';

/**
 * Lists the services of workers that may run tasks of a former owner and have not answered yet.
 *
 * @param scheduler - the state
 * @param now - local time in milliseconds
 * @returns the services; `unknownService` among them if a worker may run tasks of any service
 * @example
 * listUnreconciledServices(scheduler, now).has('planner');
 */
export function listUnreconciledServices(scheduler: Scheduler, now: number): Set<string> {
	const services = new Set<string>();
	for (const {unreconciledUntil, listing} of scheduler.workers.values()) {
		if (unreconciledUntil > now) {
			services.add(listing?.service ?? unknownService);
		}
	}

	return services;
}
