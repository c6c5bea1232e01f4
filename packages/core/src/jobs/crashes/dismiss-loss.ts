import {type ReducerContext} from '../state/reducer-context.js';
import {type Worker} from '../state/scheduler.js';
import {recordImage} from './record-image.js';

/**
 * Dismisses the suspicion of a crash when the incarnation of a worker whose lease had expired answers again.
 *
 * @param context - the reducer context; its state is changed
 * @param worker - the worker; changed
 * @example
 * dismissLoss(context, worker);
 */
export function dismissLoss(context: ReducerContext, worker: Worker): void {
	for (const {task: {group}, recent, isolated} of worker.unexplainedLoss?.runs ?? []) {
		if (isolated) {
			group.earliestStartAt = 0;
		}

		if (recent && group.crashedRuns.size === 0) {
			recordImage(context, group, 'alive');
		}

		group.suspected &&= group.crashedRuns.size > 0;
	}

	worker.unexplainedLoss = undefined;
}
