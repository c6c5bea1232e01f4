import {isFarBelowLimit} from '../order/is-far-below-limit.js';
import {isWithinLimit} from '../order/is-within-limit.js';
import {type Scheduler, type TaskGroup} from '../state/scheduler.js';
import {getTotalResources} from './get-total-resources.js';

/** Time for which a task waits for room under the upper limit, in milliseconds, before one may exceed it; what can run is to start within 3 s. */
const limitWaitMs = 1500;

/**
 * Tells whether the upper limit of its organisation lets a group start. A single task that has waited may exceed the limit
 * while less than half of it is in use, which the platform allows: a task that needs more than long-running ones leave, or
 * more than the limit, would otherwise never start. A gang may not.
 *
 * @param scheduler - the state
 * @param group - the group
 * @param now - local time in milliseconds
 * @returns false if the limit holds the group back
 * @example
 * mayStartUnderLimit(scheduler, group, now);
 */
export function mayStartUnderLimit(scheduler: Scheduler, group: TaskGroup, now: number): boolean {
	const {job, tasks} = group;
	return isWithinLimit(scheduler, job, getTotalResources(group))
		|| (tasks.length === 1 && now - findReadySince(group) > limitWaitMs && isFarBelowLimit(scheduler, job.definition.organisation) && !hasOpenStarts(scheduler, job.definition.organisation));
}

/** Tells whether start orders of an organisation are open. One that is carried out after the task that exceeds the limit would be the second task above it. */
function hasOpenStarts({workers}: Scheduler, organisation: string): boolean {
	for (const {tasks} of workers.values()) {
		for (const {state, openStartOrders, group} of tasks) {
			if ((state === 'starting' || openStartOrders > 0) && group.job.definition.organisation === organisation) {
				return true;
			}
		}
	}

	return false;
}

function findReadySince({job, occurrence, step, unassignedSince}: TaskGroup): number {
	return Math.max(unassignedSince, job.occurrences.get(occurrence)?.[step]?.readySince ?? 0);
}
