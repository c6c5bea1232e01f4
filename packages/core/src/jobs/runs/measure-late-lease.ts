import {slowestClockRate} from '../state/constants.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type Worker} from '../state/scheduler.js';

/**
 * Measures the remaining time of the lease that a late call for the earlier incarnation of a worker may have granted to
 * the present one: the longest lease, from the arrival of the call.
 *
 * @param context - the reducer context
 * @param worker - the worker
 * @returns milliseconds on the slowest clock; not above 0 if no such lease is left
 * @example
 * worker.leaseUntilMs = Math.max(worker.leaseUntilMs, clockMs + measureLateLease(context, worker));
 */
export function measureLateLease({scheduler, now}: ReducerContext, {earlierCallsUntil}: Worker): number {
	return scheduler.longestLeaseMs - (Math.max(0, now - earlierCallsUntil) * slowestClockRate);
}
