import {estimateCriticalPath} from '../estimates/estimate-critical-path.js';
import {estimateWork} from '../estimates/estimate-work.js';
import {type ActiveJob, type Scheduler} from '../state/scheduler.js';

/** Shortest window over which the work of an arriving job is averaged; a longer one detects bursts late, a shorter one treats single jobs as bursts. */
const minimumWindowMs = 600;

/** Fraction of a job's critical path over which its work is averaged, so that a burst of long jobs shows before the first one ends. */
const criticalPathFraction = 0.6;

/**
 * Measures the demand that a recently arrived job adds to its pool, so that a burst shows before a queue builds up.
 * Long-running and scheduled jobs add nothing here, because their tasks start at other times; `measurePools` adds the usage
 * of running long-running tasks.
 *
 * @param scheduler - the state
 * @param job - the job
 * @param now - local time in milliseconds
 * @returns thousandths of a core, 0 for a job that arrived before the window
 * @example
 * measureArrivingDemand(scheduler, job, now);
 */
export function measureArrivingDemand(scheduler: Scheduler, job: ActiveJob, now: number): number {
	const {acceptedAt, recovered} = job;
	const {steps, repeatCount} = job.definition;
	const windowMs = Math.max(minimumWindowMs, estimateCriticalPath(scheduler, job) * criticalPathFraction);
	if (recovered || repeatCount > 0 || now - acceptedAt > windowMs || steps.some(({longRunning}) => longRunning)) {
		return 0;
	}

	return estimateWork(scheduler, job) / windowMs;
}
