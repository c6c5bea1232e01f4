import {type ReducerContext} from '../state/reducer-context.js';
import {type Worker} from '../state/scheduler.js';
import {describeHolder} from './describe-holder.js';

/** Time after a takeover in which workers that are up have answered, in milliseconds. */
const answerTimeMs = 1000;

/**
 * Logs, once for each worker, that a worker that a former owner recorded as a holder has not answered this owner yet, and how
 * long the owner will wait for it.
 *
 * @param context - the reducer context; an effect is added
 * @param worker - the worker; changed
 * @example
 * logSilentHolder(context, worker);
 */
export function logSilentHolder({scheduler, now, effects}: ReducerContext, worker: Worker): void {
	if (worker.silenceLogged || worker.unreconciledUntil <= now || now - scheduler.tookOverAt < answerTimeMs) {
		return;
	}

	worker.silenceLogged = true;
	effects.push({
		type: 'log', level: 'warn', event: 'holder-silent', fields: {...describeHolder(worker, now), waitMs: Math.round(worker.unreconciledUntil - now)},
	});
}
