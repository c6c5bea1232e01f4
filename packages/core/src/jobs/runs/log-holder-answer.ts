import {type WorkerReport} from '../state/event.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type Worker} from '../state/scheduler.js';
import {findLeaseExpiry} from './find-lease-expiry.js';

/**
 * Logs the first report of a worker that a former owner recorded as a holder.
 *
 * @param context - the reducer context; an effect is added
 * @param worker - the worker, with the lease that is assumed from now on
 * @param report - its report
 * @example
 * logHolderAnswer(context, worker, report);
 */
export function logHolderAnswer({scheduler, now, effects}: ReducerContext, worker: Worker, report: WorkerReport): void {
	effects.push({
		type: 'log', level: 'info', event: 'holder-answered', fields: {
			worker: worker.id,
			startedAtMs: report.startedAtMs,
			listedStartedAtMs: worker.listing?.startedAtMs,
			sinceTakeoverMs: Math.round(now - scheduler.tookOverAt),
			running: report.running.length,
			leaseMs: Math.max(0, Math.round(findLeaseExpiry(worker) - now)),
		},
	});
}
