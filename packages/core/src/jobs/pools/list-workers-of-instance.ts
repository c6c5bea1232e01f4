import {mayHoldLease} from '../runs/may-hold-lease.js';
import {type Scheduler, type Worker} from '../state/scheduler.js';

/**
 * Lists the workers that may run tasks on an instance: the one that the store lists, and those whose entry has expired, or
 * that a former owner has recorded, while they may hold a lease.
 *
 * @param scheduler - the state
 * @param instance - id of the instance
 * @param now - local time in milliseconds
 * @returns the workers; none if every worker that is known to have run there has definitely ended
 * @example
 * listWorkersOfInstance(scheduler, 'm-1', now).some(({tasks}) => tasks.size > 0);
 */
export function listWorkersOfInstance({workers, instances}: Scheduler, instance: string, now: number): Worker[] {
	const listedWorker = instances.get(instance)?.worker;
	const found: Worker[] = [];
	for (const worker of workers.values()) {
		// A former owner may have recorded a worker without its instance.
		const isThere = worker.instance === instance || (worker.instance === '' && worker.id === listedWorker);
		if (isThere && mayHoldLease(worker, now)) {
			found.push(worker);
		}
	}

	return found;
}
