import {type Scheduler} from '../state/scheduler.js';

/** Part of a service's cores up to which every waiting job is tried: that much room must not stay unused because of jobs that do not fit into it. */
const spaciousFraction = 0.5;

/**
 * Tells whether so little of a service is in use that every waiting job is tried, however many do not fit.
 *
 * @param scheduler - the state
 * @param service - name of the service
 * @returns true if less than half of its cores are in use
 * @example
 * isSpacious(scheduler, 'planner');
 */
export function isSpacious({workers}: Scheduler, service: string): boolean {
	let used = 0;
	let capacity = 0;
	for (const worker of workers.values()) {
		if (worker.listing?.service === service) {
			used += worker.used.cpuMillis;
			capacity += worker.listing.capacity.cpuMillis;
		}
	}

	return used < capacity * spaciousFraction;
}
