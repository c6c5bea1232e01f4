import {isolationMs} from '../state/constants.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type Worker} from '../state/scheduler.js';
import {describeLostRuns} from './describe-lost-runs.js';
import {recordImage} from './record-image.js';

/**
 * Marks a worker as unresponsive after a call that it did not answer. If it fell silent soon after the start of a run, the
 * image of the run may have crashed it. The image is suspected at once, not at the expiry of the lease, so that its other
 * tasks are not started on shared workers meanwhile, and so that the next owner knows of it.
 *
 * @param context - the reducer context; its state is changed
 * @param worker - the worker
 * @example
 * markUnresponsive(context, worker);
 */
export function markUnresponsive(context: ReducerContext, worker: Worker): void {
	if (worker.unresponsive) {
		return;
	}

	worker.unresponsive = true;
	for (const {task: {group, lastOrderAt}, recent} of describeLostRuns(worker, context.now)) {
		const hasOutlivedStart = worker.lastResponseAt - lastOrderAt >= isolationMs;
		if (recent && !hasOutlivedStart && group.tasks.length === 1 && !group.definition.longRunning) {
			recordImage(context, group, 'lost');
		}
	}
}
