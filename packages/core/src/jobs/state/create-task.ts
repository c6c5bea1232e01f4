import {type Task, type TaskGroup} from './scheduler.js';

/**
 * Creates the state of a task, or of the duplicate run of one, that is not assigned to a worker.
 *
 * @param group - its task group
 * @param place - identifier of the task, and its position in the step
 * @returns the state
 * @example
 * createTask(group, {id: 'a.0.0.1', index: 1});
 */
export function createTask(group: TaskGroup, {id, index}: {id: string; index: number}): Task {
	return {
		id,
		index,
		group,
		state: 'unassigned',
		worker: undefined,
		run: 0,
		ticket: '',
		startOrders: 0,
		openStartOrders: 0,
		expectedInReportsFrom: 0,
		lastOrderAt: 0,
		seenRunningAt: 0,
		percent: 0,
		progressedAt: 0,
		speedLimitPercent: 100,
		speedLimitChangedAt: 0,
		measurement: undefined,
		duplicate: undefined,
	};
}
