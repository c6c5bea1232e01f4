import {type Scheduler} from '../state/scheduler.js';
import {isInstanceReserved} from './is-instance-reserved.js';

/**
 * Returns the workers of an instance to service, unless the instance goes down or moves for another reason. A worker whose
 * entry has expired is returned as well, since the store may list it again.
 *
 * @param scheduler - the state; changed
 * @param instance - id of the instance
 * @example
 * uncordonWorkers(scheduler, 'm-1');
 */
export function uncordonWorkers(scheduler: Scheduler, instance: string): void {
	if (isInstanceReserved(scheduler, instance)) {
		return;
	}

	for (const worker of scheduler.workers.values()) {
		if (worker.instance === instance) {
			worker.cordoned = false;
		}
	}
}
