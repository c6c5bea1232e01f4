import {type RecordedRun, type Scheduler} from '../state/scheduler.js';
import {measureLeaseWait} from './measure-lease-wait.js';

/**
 * Finds the local time until which a run may go on that a former owner has stored. It belongs to one incarnation of its
 * worker, no order for it is open, and it ends with the lease of that incarnation.
 *
 * @param scheduler - the state
 * @param run - the stored run
 * @returns local time in milliseconds; `-Infinity` if the worker has answered since the takeover, or the incarnation has ended
 * @example
 * findFormerRunExpiry(scheduler, {worker: 'w1', startedAtMs: 4711, run: 3}) < now;
 */
export function findFormerRunExpiry(scheduler: Scheduler, {worker: id, startedAtMs}: RecordedRun): number {
	const {leaseMs, longestLeaseMs, tookOverAt, formerOrdersEndedAt, workers} = scheduler;
	const worker = workers.get(id);
	if (worker === undefined) {
		return scheduler.endedIncarnations.has(id) ? Number.NEGATIVE_INFINITY : tookOverAt + measureLeaseWait(longestLeaseMs);
	}

	if (worker.unreconciledUntil === 0 || worker.listedStartedAtMs > startedAtMs) {
		return Number.NEGATIVE_INFINITY;
	}

	return worker.boundedStartedAtMs === startedAtMs
		? Math.min(worker.unreconciledUntil, formerOrdersEndedAt + measureLeaseWait(leaseMs))
		: worker.unreconciledUntil;
}
