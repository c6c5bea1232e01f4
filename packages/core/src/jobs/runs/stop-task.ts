import {type ReducerContext} from '../state/reducer-context.js';
import {type Task} from '../state/scheduler.js';

/**
 * Orders a worker to stop a task. The task stays assigned until its end is reported.
 *
 * @param context - the reducer context; its state is changed and an effect is added
 * @param task - the task
 * @example
 * stopTask(context, task);
 */
export function stopTask(context: ReducerContext, task: Task): void {
	const {worker} = task;
	if (worker === undefined) {
		return;
	}

	task.state = 'stopping';
	task.lastOrderAt = context.now;
	task.expectedInReportsFrom = Number.POSITIVE_INFINITY;
	context.effects.push({
		type: 'stop', worker: worker.id, address: worker.address, task: task.id, run: task.run,
	});
}
