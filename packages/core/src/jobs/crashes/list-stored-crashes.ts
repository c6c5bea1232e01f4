import {type TaskGroup} from '../state/scheduler.js';

/**
 * Lists the runs under which crashes are stored for the next owner. They include a present run without others, since the
 * next owner cannot know the runs of a worker that crashes before the takeover; a report of the run removes it. A single
 * crash on a shared worker, under a task that was not among the last ones started there, is left out: after a takeover, all
 * such tasks would have to run in isolation.
 *
 * @param group - the task group
 * @returns the numbers of the runs
 * @example
 * listStoredCrashes(group);
 */
export function listStoredCrashes({suspected, crashedRuns, isolation, tasks}: TaskGroup): number[] {
	if (!suspected && crashedRuns.size < 2) {
		return [];
	}

	const runs = new Set(crashedRuns);
	if (isolation !== undefined && !isolation.isShared && tasks.some(({state, run}) => state !== 'unassigned' && run === isolation.run)) {
		runs.add(isolation.run);
	}

	return [...runs];
}
