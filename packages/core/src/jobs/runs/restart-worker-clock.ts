import {lateCallMs} from '../state/constants.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type Worker} from '../state/scheduler.js';

/**
 * Replaces the clock of a worker by that of its next incarnation, which may still carry out late calls for the earlier one.
 * A lease that was computed on the earlier clock exceeds the longest one on the new clock, and the worker has shortened it
 * to that.
 *
 * @param context - the reducer context; its state is changed
 * @param worker - the worker; changed
 * @param clockMs - reading of the new clock, in milliseconds
 * @example
 * restartWorkerClock(context, worker, 12);
 */
export function restartWorkerClock({scheduler, now}: ReducerContext, worker: Worker, clockMs: number): void {
	worker.boundedStartedAtMs = 0;
	worker.earlierCallsUntil = now + lateCallMs;
	worker.clockMs = clockMs;
	worker.clockReadAt = now;
	worker.leaseUntilMs = Math.ceil(clockMs + scheduler.longestLeaseMs);
}
