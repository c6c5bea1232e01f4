import {type StepState} from './scheduler.js';

/**
 * Tells whether a step has tasks left and all steps that it depends on are done.
 *
 * @param steps - the steps of one occurrence
 * @param step - one of them
 * @returns true if its tasks can start
 * @example
 * steps.filter(step => isStepReady(steps, step));
 */
export function isStepReady(steps: readonly StepState[], {groups, remaining}: StepState): boolean {
	return remaining > 0 && (groups[0]?.definition.after ?? []).every(earlier => steps[earlier]?.remaining === 0);
}
