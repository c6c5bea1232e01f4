import {type ReducerContext} from '../state/reducer-context.js';
import {type LostRun, type Worker} from '../state/scheduler.js';

/**
 * Counts the runs of a worker that may have caused its crash. The next trial of each of them is shared by at most half as
 * many, so that the number of crashes for one task at fault is bounded by the logarithm of their number.
 *
 * @param context - the reducer context; its state is changed
 * @param worker - the worker
 * @param runs - all runs that were lost with it
 * @example
 * countSuspects(context, worker, describeLostRuns(worker, now));
 */
export function countSuspects({scheduler}: ReducerContext, worker: Worker, runs: readonly LostRun[]): void {
	scheduler.survivedTrials.delete(worker.service);
	const suspects = runs.filter(({task: {group}, run, recent}) => recent || group.isolation?.run === run);
	for (const {task: {group}} of suspects) {
		group.suspectCount = suspects.length;
		if (group.job.end === undefined) {
			scheduler.dirtyJobs.add(group.job);
		}
	}
}
