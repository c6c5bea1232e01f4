import {type ListedInstance} from '@rosemaryquay/core/jobs/state/instance';
import {type ListedWorker} from '@rosemaryquay/core/jobs/state/scheduler';

/**
 * Gives each worker an instance of its own that the platform lists.
 *
 * @param workers - the workers
 * @returns the workers with the ids of their instances, and the instances
 * @example
 * new FleetModel({seed, configuration, ...addInstances(createWorkers(4))});
 */
export function addInstances(workers: readonly ListedWorker[]): {workers: ListedWorker[]; instances: ListedInstance[]} {
	const placed = workers.map(worker => ({...worker, instance: `m-${worker.id}`}));
	return {
		workers: placed,
		instances: placed.map(({id, instance, service, availabilityZone, labels, capacity}) => ({
			id: instance, pool: service, state: 'up', availabilityZone, labels, capacity, worker: id,
		})),
	};
}
