import {type Resources} from '../state/configuration-schema.js';
import {type StepState, type TaskGroup, type Worker} from '../state/scheduler.js';
import {addResources} from './add-resources.js';
import {fitsInto} from './fits-into.js';
import {getReservedResources} from './get-reserved-resources.js';
import {isEligible} from './is-eligible.js';
import {satisfiesAntiAffinity} from './satisfies-anti-affinity.js';

/**
 * Finds the first workers that will have room for all tasks of a group once the tasks there that end on their own have ended.
 *
 * @param group - the task group
 * @param stepState - the step that it belongs to
 * @param workers - workers that may get new tasks, in the order of preference
 * @returns as few workers as the tasks need; undefined if the group waits for something else than the end of other tasks
 * @example
 * findObtainableWorkers(group, stepState, workers) === undefined;
 */
export function findObtainableWorkers(group: TaskGroup, stepState: StepState, workers: Iterable<Worker>): Worker[] | undefined {
	const need = getReservedResources(group.definition);
	const obtainable: Worker[] = [];
	const taken: Worker[] = [];
	for (const worker of workers) {
		if (worker.listing === undefined || !fitsInto(need, worker.listing.capacity) || !isEligible(group, stepState, worker)) {
			continue;
		}

		let free = measureObtainableRoom(worker, worker.listing.capacity);
		while (taken.length < group.tasks.length && fitsInto(need, free) && satisfiesAntiAffinity(group, stepState, {worker, taken})) {
			taken.push(worker);
			free = addResources(free, need, -1);
		}

		if (taken.at(-1) === worker) {
			obtainable.push(worker);
		}

		if (taken.length === group.tasks.length) {
			return obtainable;
		}
	}

	return undefined;
}

/** Resources that are free on a worker once all tasks that are not long-running have ended. */
function measureObtainableRoom({tasks}: Worker, capacity: Resources): Resources {
	let free = capacity;
	for (const {group} of tasks) {
		if (group.definition.longRunning) {
			free = addResources(free, getReservedResources(group.definition), -1);
		}
	}

	return free;
}
