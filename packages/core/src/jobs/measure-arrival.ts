import {type ActiveJob} from './scheduler.js';

/** Shortest time over which the work of arriving jobs is averaged; longer ones see a burst late, shorter ones take single jobs for one. */
const shortestWindowMs = 600;

/** Part of a job's chain over which its work is averaged, so that a burst of long jobs shows before the first one ends. */
const chainPart = 0.6;

/**
 * Measures what a job that has just arrived adds to the demand of its pool. The work of a burst shows in it before a
 * queue builds up. Jobs that last and scheduled ones add nothing, since they start at other times.
 *
 * @param job - the job
 * @param now - local time in milliseconds
 * @returns thousandths of a core, 0 for a job that arrived earlier
 * @example
 * measureArrival(job, now);
 */
export function measureArrival(job: ActiveJob, now: number): number {
	const {arrivedAt, chainMs, work, recovered} = job;
	const {steps, repeatCount} = job.job;
	const windowMs = Math.max(shortestWindowMs, chainMs * chainPart);
	if (recovered || repeatCount > 0 || now - arrivedAt > windowMs || steps.some(({longRunning}) => longRunning)) {
		return 0;
	}

	return work / windowMs;
}
