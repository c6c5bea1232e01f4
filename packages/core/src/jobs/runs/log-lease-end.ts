import {type ReducerContext} from '../state/reducer-context.js';
import {type Scheduler, type Worker} from '../state/scheduler.js';
import {describeHolder} from './describe-holder.js';
import {findFormerRunExpiry} from './find-former-run-expiry.js';

/**
 * Logs, once for each worker, that a recorded holder which has not answered can no longer hold a lease for the runs that a
 * former owner stored, while this owner still waits for it on account of others. The stored runs are started elsewhere.
 *
 * @param context - the reducer context; an effect is added
 * @param worker - the worker; changed
 * @example
 * logLeaseEnd(context, worker);
 */
export function logLeaseEnd({scheduler, now, effects}: ReducerContext, worker: Worker): void {
	const {id, boundedStartedAtMs, unreconciledUntil, leaseEndLogged} = worker;
	if (leaseEndLogged || unreconciledUntil <= now || now <= findFormerRunExpiry(scheduler, {worker: id, startedAtMs: boundedStartedAtMs, run: 0})) {
		return;
	}

	worker.leaseEndLogged = true;
	const runs = countStoredRuns(scheduler, id);
	if (runs > 0) {
		effects.push({
			type: 'log', level: 'warn', event: 'holder-lease-over', fields: {
				...describeHolder(worker, now), runs, waitedMs: Math.round(now - scheduler.tookOverAt), waitMs: Math.round(unreconciledUntil - now),
			},
		});
	}
}

function countStoredRuns({jobs}: Scheduler, worker: string): number {
	let count = 0;
	for (const {hasFormerRuns, occurrences} of jobs.values()) {
		const groups = hasFormerRuns ? [...occurrences.values()].flat().flatMap(step => step.groups) : [];
		count += groups.filter(({formerRun}) => formerRun?.worker === worker).length;
	}

	return count;
}
