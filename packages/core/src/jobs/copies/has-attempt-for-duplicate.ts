import {findQueuePolicy} from '../state/find-queue-policy.js';
import {type Scheduler, type TaskGroup} from '../state/scheduler.js';

/** Runs of a task that are open while it has a duplicate. */
const openRuns = 2;

/**
 * Tells whether a task has attempts left for two open runs: if both fail, no more runs have failed than its job allows.
 *
 * @param scheduler - the state
 * @param group - the task group
 * @returns false if the last allowed attempt is already running
 * @example
 * hasAttemptForDuplicate(scheduler, group);
 */
export function hasAttemptForDuplicate(scheduler: Scheduler, group: TaskGroup): boolean {
	return group.failedRuns.size + openRuns <= findQueuePolicy(scheduler, group.job).maximumAttempts;
}
