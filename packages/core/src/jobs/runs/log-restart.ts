import {type ReducerContext} from '../state/reducer-context.js';
import {type RestartEvidence, type Task, type Worker} from '../state/scheduler.js';
import {findLeaseExpiry} from './find-lease-expiry.js';

/**
 * Logs that another incarnation of a worker was noticed, once for each kind of evidence.
 *
 * @param context - the reducer context; an effect is added
 * @param worker - the worker, with the start time of its earlier incarnation and the lease that is assumed from now on; changed
 * @param restart - what showed the incarnation, its start time in milliseconds since 1970 if known, and the tasks that were assigned to the worker
 * @example
 * logRestart(context, worker, {evidence: 'report', startedAtMs: 4711});
 */
export function logRestart(context: ReducerContext, worker: Worker, restart: {evidence: RestartEvidence; startedAtMs: number | undefined; tasks?: Iterable<Task>}): void {
	const {evidence, startedAtMs, tasks = worker.tasks} = restart;
	if (startedAtMs !== undefined) {
		if (worker.loggedRestarts.get(evidence) === startedAtMs) {
			return;
		}

		worker.loggedRestarts.set(evidence, startedAtMs);
	}

	const assigned = [...tasks];
	context.effects.push({
		type: 'log', level: 'warn', event: 'worker-restarted', fields: {
			worker: worker.id,
			formerStartedAtMs: worker.startedAtMs,
			startedAtMs,
			evidence,
			tasks: assigned.length,
			openStarts: assigned.filter(({openStartOrders}) => openStartOrders > 0).length,
			leaseMs: Math.max(0, Math.round(findLeaseExpiry(worker) - context.now)),
		},
	});
}
