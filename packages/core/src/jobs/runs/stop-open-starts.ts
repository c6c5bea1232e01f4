import {lateCallMs} from '../state/constants.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type Worker} from '../state/scheduler.js';

/**
 * Orders the next incarnation of a worker to stop the released runs whose start orders it may still carry out. A worker
 * rejects a run that was stopped before it came.
 *
 * @param context - the reducer context; effects are added
 * @param worker - the worker
 * @example
 * stopOpenStarts(context, worker);
 */
export function stopOpenStarts({now, effects}: ReducerContext, {id, address, openStarts}: Worker): void {
	for (const [task, {run, orderedAt}] of openStarts) {
		if (now - orderedAt < lateCallMs) {
			effects.push({
				type: 'stop', worker: id, address, task, run,
			});
		}
	}
}
