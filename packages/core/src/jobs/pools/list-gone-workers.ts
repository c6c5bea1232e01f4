import {type InstanceListing, type Scheduler, type Worker} from '../state/scheduler.js';

/**
 * Lists the workers that have ended for good, because two lists of instances in a row, both requested since the last answer of
 * the worker, are without its instance. The first list counts only if it shows the instances of all workers that have answered
 * since it was requested, and there is one at least.
 *
 * @param scheduler - the state, with the list before
 * @param latest - the latest list
 * @returns the workers
 * @example
 * listGoneWorkers(scheduler, {requestedAt, ids: new Set(['m-1']), isComplete: true});
 */
export function listGoneWorkers({workers, instanceListing}: Scheduler, latest: InstanceListing): Worker[] {
	if (instanceListing === undefined || !latest.isComplete || !isConfirmed(workers.values(), instanceListing)) {
		return [];
	}

	return [...workers.values()].filter(({instance, lastResponseAt, locatedAt}) => instance !== ''
		&& instanceListing.requestedAt > Math.max(lastResponseAt, locatedAt)
		&& !instanceListing.ids.has(instance)
		&& !latest.ids.has(instance));
}

function isConfirmed(workers: Iterable<Worker>, {requestedAt, ids, isComplete}: InstanceListing): boolean {
	let witnesses = 0;
	for (const {instance, lastResponseAt, locatedAt} of workers) {
		if (instance === '' || locatedAt >= requestedAt || lastResponseAt <= requestedAt) {
			continue;
		}

		if (!ids.has(instance)) {
			return false;
		}

		witnesses++;
	}

	return isComplete && witnesses > 0;
}
