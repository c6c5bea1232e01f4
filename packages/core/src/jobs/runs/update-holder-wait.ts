import {lateCallMs} from '../state/constants.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type Worker} from '../state/scheduler.js';
import {measureLeaseWait} from './measure-lease-wait.js';

/**
 * Extends the wait of a new owner for a recorded holder that has not answered when the store lists a later incarnation of
 * it. That one may carry out calls of the former owner and holds the longest lease from then on; the last of these calls
 * arrives `lateCallMs` after the takeover at the latest.
 *
 * @param context - the reducer context
 * @param worker - the worker; changed
 * @param former - start time of the incarnation that the store listed before, in milliseconds since 1970; 0 if it listed none
 * @example
 * updateHolderWait(context, worker, listedStartedAtMs);
 */
export function updateHolderWait({scheduler, now}: ReducerContext, worker: Worker, former: number): void {
	if (now < worker.unreconciledUntil && former !== 0 && worker.listedStartedAtMs > former) {
		worker.unreconciledUntil = Math.min(now, scheduler.tookOverAt + lateCallMs) + measureLeaseWait(scheduler.longestLeaseMs);
	}
}
