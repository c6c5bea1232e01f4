import {getReservedResources} from '../placement/get-reserved-resources.js';
import {type Scheduler} from '../state/scheduler.js';

/** Largest part of the cores of a service that duplicates reserve; the requirement on duplicate runs. */
const duplicatePart = 1 / 20;

/**
 * Measures the cores of a service that further duplicate runs may reserve. Of two runs of a task, the one that is the
 * task's own counts as the original, also if it was started later.
 *
 * @param scheduler - the state
 * @param service - name of the service
 * @returns thousandths of a core
 * @example
 * measureDuplicateBudget(scheduler, 'planner');
 */
export function measureDuplicateBudget({workers, tasks}: Pick<Scheduler, 'workers' | 'tasks'>, service: string): number {
	let budget = 0;
	for (const {listing, tasks: assigned} of workers.values()) {
		if (listing?.service !== service) {
			continue;
		}

		budget += listing.capacity.cpuMillis * duplicatePart;
		for (const task of assigned) {
			budget -= tasks.get(task.id)?.duplicate === task ? getReservedResources(task.group.definition).cpuMillis : 0;
		}
	}

	return budget;
}
