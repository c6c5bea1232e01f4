import {type Worker} from '../state/scheduler.js';

/**
 * Dismisses the suspicion of a crash when the incarnation of a worker whose lease had expired answers again.
 *
 * @param worker - the worker; changed
 * @example
 * dismissLoss(worker);
 */
export function dismissLoss(worker: Worker): void {
	for (const {task: {group}, isolated} of worker.unexplainedLoss?.runs ?? []) {
		if (isolated) {
			group.earliestStartAt = 0;
		}

		group.suspected &&= group.crashedRuns.size > 0;
	}

	worker.unexplainedLoss = undefined;
}
