import {type ReducerContext} from '../state/reducer-context.js';
import {type Worker} from '../state/scheduler.js';
import {endIncarnation} from './end-incarnation.js';

/**
 * Ends the incarnation of a worker that a call went to, since another worker has answered at its address. A call that went
 * to an earlier address or incarnation of the worker tells nothing about the present one.
 *
 * @param context - the reducer context; its state is changed
 * @param worker - the worker
 * @param calledAt - local time of the call
 * @returns true if the incarnation was ended
 * @example
 * endCalledIncarnation(context, worker, worker.reportRequestedAt);
 */
export function endCalledIncarnation(context: ReducerContext, worker: Worker, calledAt: number): boolean {
	if (calledAt < worker.locatedAt) {
		return false;
	}

	endIncarnation(context, worker, 'address-reused');
	return true;
}
