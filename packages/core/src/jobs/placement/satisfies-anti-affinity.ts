import {type StepState, type TaskGroup, type Worker} from '../state/scheduler.js';

/**
 * Tells whether a worker may get one more task of a step under its `antiAffinity`.
 *
 * @param group - the task group
 * @param stepState - the step that it belongs to
 * @param options - the worker, and the workers chosen for other tasks of the group
 * @returns false if the worker has as many tasks of the step as it may have
 * @example
 * satisfiesAntiAffinity(group, stepState, {worker, taken: []});
 */
export function satisfiesAntiAffinity(group: TaskGroup, stepState: StepState, options: {worker: Worker; taken: readonly Worker[]}): boolean {
	const {worker, taken} = options;
	const {antiAffinity} = group.definition;
	if (antiAffinity === 0) {
		return true;
	}

	let count = taken.filter(other => other === worker).length;
	for (const task of worker.tasks) {
		if (task.group.job === group.job && task.group.occurrence === stepState.occurrence && task.group.step === stepState.step) {
			count++;
		}
	}

	return count < antiAffinity;
}
