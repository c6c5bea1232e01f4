import {estimateWork} from '../estimates/estimate-work.js';
import {findQueuePolicy} from '../state/find-queue-policy.js';
import {type ActiveJob, type Scheduler} from '../state/scheduler.js';
import {classifyLateness, type Lateness} from './classify-lateness.js';

/**
 * Sort key of a job in the order of placement; compared from left to right, lower values first.
 * `jobClass`: 0 for long-running jobs, 1 for others. `tieBreaker`: time of acceptance of a long-running job, otherwise remaining work.
 */
export type Rank = readonly [jobClass: number, priority: number, lateness: Lateness, tieBreaker: number];

/**
 * Ranks a job for placement. Long-running jobs come first, since their users wait for as long as the tasks are down.
 * Within a priority, jobs that can still meet their latency objective come before late ones, then jobs with less remaining
 * work before those with more: on a full service, this completes the most jobs in time.
 *
 * @param scheduler - the state
 * @param job - the job
 * @param now - local time in milliseconds
 * @returns the rank
 * @example
 * rankJob(scheduler, job, now);
 */
export function rankJob(scheduler: Scheduler, job: ActiveJob, now: number): Rank {
	const {priority} = findQueuePolicy(scheduler, job);
	if (job.definition.steps.some(({longRunning}) => longRunning)) {
		return [0, priority, 0, job.acceptedAt];
	}

	const current = job.occurrences.get(job.completedOccurrences) ?? [];
	return [1, priority, classifyLateness(scheduler, job, now), estimateWork(scheduler, job, position => current[position]?.remaining ?? 0)];
}
