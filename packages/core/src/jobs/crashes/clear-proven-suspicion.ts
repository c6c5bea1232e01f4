import {suspicionLimit} from '../state/constants.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type StepState} from '../state/scheduler.js';
import {isSiblingProven} from './is-sibling-proven.js';

/**
 * Clears the suspicion of the long-running tasks of a step once one of them has been up for long, also if that became known
 * only after the crash. Those under which workers have crashed often stay suspected.
 *
 * @param context - the reducer context; its state is changed
 * @param step - the step
 * @example
 * clearProvenSuspicion(context, step);
 */
export function clearProvenSuspicion({scheduler}: ReducerContext, {groups}: StepState): void {
	const suspects = groups.filter(({suspected, definition, crashedRuns}) => suspected && definition.longRunning && crashedRuns.size < suspicionLimit);
	const [first] = suspects;
	if (first === undefined || !isSiblingProven(first)) {
		return;
	}

	for (const group of suspects) {
		group.suspected = false;
		scheduler.dirtyJobs.add(group.job);
	}
}
