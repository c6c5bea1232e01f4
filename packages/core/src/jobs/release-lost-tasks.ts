import {type ReducerContext} from './reducer-context.js';
import {releaseTask} from './release-task.js';
import {type Worker} from './scheduler.js';

/** Maximum number of task ids in a log line. */
const maximumLoggedTasks = 20;

/**
 * Releases all tasks of a worker that have ended without a report, because its lease expired or another worker replaced it.
 *
 * @param context - the reducer context; its state is changed
 * @param worker - the worker
 * @param reason - reason for the log
 * @example
 * releaseLostTasks(context, worker, 'lease-lapsed');
 */
export function releaseLostTasks(context: ReducerContext, worker: Worker, reason: string): void {
	if (worker.tasks.size === 0) {
		return;
	}

	context.effects.push({
		type: 'log', level: 'warn', event: 'worker-tasks-lost', fields: {
			worker: worker.id, reason, count: worker.tasks.size, tasks: [...worker.tasks].slice(0, maximumLoggedTasks).map(({id}) => id), silentMs: Math.round(context.now - worker.lastResponseAt),
		},
	});
	for (const task of worker.tasks) {
		releaseTask(context, task);
	}
}
