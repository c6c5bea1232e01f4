import {type Scheduler} from '../state/scheduler.js';

/** Stands for the service of a worker that neither the list of holders nor the store names; it may run tasks of any service. */
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
	for (const {unreconciledUntil, service} of scheduler.workers.values()) {
		if (unreconciledUntil > now) {
			services.add(service === '' ? unknownService : service);
		}
	}

	return services;
}
