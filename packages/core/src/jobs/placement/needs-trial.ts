import {isStepProven} from '../crashes/is-step-proven.js';
import {type StepState} from '../state/scheduler.js';

/**
 * Tells whether one task of a step has to show first that it does not crash its worker. Long-running tasks have to be up
 * soon, and those of a gang work only together.
 *
 * @param step - the step
 * @returns true if so
 * @example
 * needsTrial(step);
 */
export function needsTrial(step: StepState): boolean {
	const [first] = step.groups;
	return first !== undefined && !first.definition.longRunning && first.tasks.length === 1 && !isStepProven(step);
}
