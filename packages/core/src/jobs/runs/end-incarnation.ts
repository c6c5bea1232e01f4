import {type ReducerContext} from '../state/reducer-context.js';
import {type Worker} from '../state/scheduler.js';
import {logHolderAbandonment} from './log-holder-abandonment.js';
import {releaseLostTasks} from './release-lost-tasks.js';

/**
 * Records that the current incarnation of a worker has definitely ended, although the store may still list it for a while.
 *
 * @param context - the reducer context; its state is changed
 * @param worker - the worker
 * @param reason - reason for the log
 * @example
 * endIncarnation(context, worker, 'moved');
 */
export function endIncarnation(context: ReducerContext, worker: Worker, reason: string): void {
	releaseLostTasks(context, worker, reason);
	logHolderAbandonment(context, worker, reason);
	context.scheduler.endedIncarnations.set(worker.id, Math.max(worker.startedAtMs, worker.listing?.startedAtMs ?? 0));
	worker.listing = undefined;
	worker.recordedAsHolder = false;
	worker.unreconciledUntil = 0;
	worker.leaseUntilMs = 0;
}
