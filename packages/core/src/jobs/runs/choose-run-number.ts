import {type Scheduler, type TaskGroup} from '../state/scheduler.js';

/** Size of the range of run numbers of each owner. The range starts at (term - 1) * 1000 + 1, so that run numbers exceed those of earlier owners, whose runs need not be known. */
const runsPerTerm = 1000;

/**
 * Chooses the number of the next run of a task group: above all runs that are known, and above those of former owners.
 *
 * @param scheduler - the state
 * @param group - the task group
 * @returns the number
 * @example
 * chooseRunNumber(scheduler, group);
 */
export function chooseRunNumber({term}: Pick<Scheduler, 'term'>, {run}: Pick<TaskGroup, 'run'>): number {
	return Math.max(run, (term - 1) * runsPerTerm) + 1;
}
