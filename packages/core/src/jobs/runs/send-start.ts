import {type ReducerContext} from '../state/reducer-context.js';
import {type Task} from '../state/scheduler.js';
import {extendLease} from './extend-lease.js';

/**
 * Orders a worker to start a task that has been placed there. The order is idempotent.
 *
 * @param context - the reducer context; its state is changed and an effect is added
 * @param task - the task
 * @example
 * sendStart(context, task);
 */
export function sendStart(context: ReducerContext, task: Task): void {
	const {worker, group} = task;
	if (worker === undefined) {
		return;
	}

	task.startOrders++;
	task.openStartOrders++;
	task.lastOrderAt = context.now;
	task.expectedInReportsFrom = Number.POSITIVE_INFINITY;
	context.effects.push({
		type: 'start',
		worker: worker.id,
		address: worker.address,
		job: group.job.definition.id,
		task: task.id,
		run: task.run,
		leaseUntilMs: extendLease(worker, context.now, context.scheduler.leaseMs),
		checkpoint: group.checkpoint,
		ticket: task.ticket,
	});
}
