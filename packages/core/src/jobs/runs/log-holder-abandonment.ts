import {type ReducerContext} from '../state/reducer-context.js';
import {type Worker} from '../state/scheduler.js';
import {describeHolder} from './describe-holder.js';

/**
 * Logs, once for each worker, that this owner no longer waits for a worker that a former owner recorded as a holder and that
 * has not answered. Its tasks may be started elsewhere from now on.
 *
 * @param context - the reducer context; an effect is added
 * @param worker - the worker; changed
 * @param reason - why the owner no longer waits
 * @example
 * logHolderAbandonment(context, worker, 'unanswered');
 */
export function logHolderAbandonment({scheduler, now, effects}: ReducerContext, worker: Worker, reason: string): void {
	if (worker.unreconciledUntil === 0 || worker.startedAtMs !== 0 || worker.abandonmentLogged) {
		return;
	}

	worker.abandonmentLogged = true;
	effects.push({
		type: 'log', level: 'warn', event: 'holder-abandoned', fields: {...describeHolder(worker, now), reason, waitedMs: Math.round(now - scheduler.tookOverAt)},
	});
}
