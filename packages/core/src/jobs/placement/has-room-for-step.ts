import {isUnassigned} from '../state/is-unassigned.js';
import {type StepState, type Worker} from '../state/scheduler.js';
import {addResources} from './add-resources.js';
import {fitsInto} from './fits-into.js';
import {getReservedResources} from './get-reserved-resources.js';
import {satisfiesAntiAffinity} from './satisfies-anti-affinity.js';

/**
 * Tells whether a worker has room for the next unassigned task of a step, whether or not it has a ticket.
 *
 * @param worker - the worker
 * @param stepState - the step
 * @returns false if it has none, or if all tasks of the step are assigned
 * @example
 * workers.some(worker => hasRoomForStep(worker, stepState));
 */
export function hasRoomForStep(worker: Worker, stepState: StepState): boolean {
	const group = stepState.groups.find(candidate => isUnassigned(candidate));
	return group !== undefined
		&& fitsInto(getReservedResources(group.definition), addResources(worker.listing?.capacity ?? worker.used, worker.used, -1))
		&& satisfiesAntiAffinity(group, stepState, {worker, taken: []});
}
