import {type StepState, type TaskGroup, type Worker} from '../state/scheduler.js';

/**
 * Tells whether a worker may run the tasks of a group at all: it has the label that they require, and a ticket where
 * their queue asks for tickets.
 *
 * @param group - the task group
 * @param stepState - the step that it belongs to
 * @param worker - the worker
 * @returns false if the tasks cannot run there, however much of it is free
 * @example
 * workers.filter(worker => isEligible(group, stepState, worker));
 */
export function isEligible({definition: {requirement}}: TaskGroup, {tickets}: StepState, worker: Worker): boolean {
	if (requirement !== '' && !worker.listing?.labels.includes(requirement)) {
		return false;
	}

	return tickets === undefined || tickets.granted.get(worker.id)?.workerStartedAtMs === worker.startedAtMs;
}
