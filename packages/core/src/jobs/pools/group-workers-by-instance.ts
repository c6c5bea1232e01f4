import {mayHoldLease} from '../runs/may-hold-lease.js';
import {type Scheduler, type Worker} from '../state/scheduler.js';

/**
 * Groups the workers that may run tasks by their instance: those that the store lists, and those whose entry has expired, or
 * that a former owner has recorded, while they may hold a lease.
 *
 * @param scheduler - the state
 * @param now - local time in milliseconds
 * @returns the workers by the id of the instance; none for an instance if every worker that is known to have run there has definitely ended
 * @example
 * groupWorkersByInstance(scheduler, now).get('m-1')?.some(({tasks}) => tasks.size > 0);
 */
export function groupWorkersByInstance(scheduler: Scheduler, now: number): Map<string, Worker[]> {
	const groups = new Map<string, Worker[]>();
	for (const worker of scheduler.workers.values()) {
		if (!mayHoldLease(worker, now)) {
			continue;
		}

		const instance = worker.instance === '' ? findListedInstance(scheduler, worker) : worker.instance;
		const group = groups.get(instance);
		if (group === undefined) {
			groups.set(instance, [worker]);
		} else {
			group.push(worker);
		}
	}

	return groups;
}

/** A former owner may have recorded a worker without its instance. */
function findListedInstance({instances}: Scheduler, {id}: Worker): string {
	for (const instance of instances.values()) {
		if (instance.worker === id) {
			return instance.id;
		}
	}

	return '';
}
