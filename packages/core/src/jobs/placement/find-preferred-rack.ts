import {type StepState, type TaskGroup, type Worker} from '../state/scheduler.js';

/**
 * Finds the rack on which a task of a group should run: that of its data or, with `sameRack`, that of the other tasks.
 *
 * @param group - the task group
 * @param stepState - the step that it belongs to
 * @param taken - workers chosen for other tasks of the group
 * @returns the rack; empty if any will do
 * @example
 * findPreferredRack(group, stepState, []);
 */
export function findPreferredRack(group: TaskGroup, stepState: StepState, taken: readonly Worker[]): string {
	const {affinity, sameRack} = group.definition;
	if (!sameRack) {
		return affinity;
	}

	const [first] = taken;
	if (first?.listing !== undefined) {
		return first.listing.rack;
	}

	for (const {tasks} of stepState.groups) {
		for (const {worker} of tasks) {
			if (worker?.listing !== undefined) {
				return worker.listing.rack;
			}
		}
	}

	return affinity;
}
