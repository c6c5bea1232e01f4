import {type TaskGroup} from '../state/scheduler.js';
import {isStepProven} from './is-step-proven.js';

/**
 * Tells whether a long-running task needs no isolation because another one of its step has been up for long. Short tasks of
 * one step may differ in this, and are given up for it.
 *
 * @param group - the task group
 * @returns true if so
 * @example
 * group.suspected = !isSiblingProven(group);
 */
export function isSiblingProven({job, occurrence, step, definition}: TaskGroup): boolean {
	const state = job.occurrences.get(occurrence)?.[step];
	return state !== undefined && definition.longRunning && isStepProven(state);
}
