import {recordLoss} from '../crashes/record-loss.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type Task, type Worker} from '../state/scheduler.js';
import {releaseTask} from './release-task.js';

/** Maximum number of task ids in a log line. */
const maximumLoggedTasks = 20;

/**
 * Releases all tasks of a worker that have ended without a report, because its lease expired or another worker replaced it.
 *
 * @param context - the reducer context; its state is changed
 * @param worker - the worker
 * @param reason - reason for the log
 * @param tasks - the tasks, by default all of the worker
 * @example
 * releaseLostTasks(context, worker, 'lease-lapsed');
 */
export function releaseLostTasks(context: ReducerContext, worker: Worker, reason: string, tasks: readonly Task[] = [...worker.tasks]): void {
	recordLoss(context, worker, reason);
	if (tasks.length === 0) {
		return;
	}

	context.effects.push({
		type: 'log', level: 'warn', event: 'worker-tasks-lost', fields: {
			worker: worker.id,
			startedAtMs: worker.startedAtMs,
			reason,
			count: tasks.length,
			openStarts: tasks.filter(({openStartOrders}) => openStartOrders > 0).length,
			tasks: tasks.slice(0, maximumLoggedTasks).map(({id}) => id),
			silentMs: Math.round(context.now - worker.lastResponseAt),
		},
	});
	for (const task of tasks) {
		releaseTask(context, task);
	}
}
