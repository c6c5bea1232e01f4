import {estimateCriticalPath} from '../estimates/estimate-critical-path.js';
import {lateObjectiveMultiple} from '../state/constants.js';
import {findQueuePolicy} from '../state/find-queue-policy.js';
import {type ActiveJob, type Scheduler} from '../state/scheduler.js';

/** 0: the job can still meet its latency objective. 1: it is late. 2: it is too late to be useful. */
export type Lateness = 0 | 1 | 2;

/**
 * Tells whether a job can still meet its latency objective if its remaining steps start now.
 *
 * @param scheduler - the state
 * @param job - the job
 * @param now - local time in milliseconds
 * @returns the class of lateness; a long-running job is never late
 * @example
 * classifyLateness(scheduler, job, now);
 */
export function classifyLateness(scheduler: Scheduler, job: ActiveJob, now: number): Lateness {
	if (job.definition.steps.some(({longRunning}) => longRunning)) {
		return 0;
	}

	const {stretch, targetLatencyMs} = findQueuePolicy(scheduler, job);
	const current = job.occurrences.get(job.completedOccurrences) ?? [];
	const remainingMs = estimateCriticalPath(scheduler, job, position => current[position]?.remaining !== 0);
	const objectiveMs = (stretch * estimateCriticalPath(scheduler, job)) + targetLatencyMs;
	const latencyMs = now + remainingMs - job.acceptedAt;
	if (latencyMs <= objectiveMs) {
		return 0;
	}

	return latencyMs <= lateObjectiveMultiple * objectiveMs ? 1 : 2;
}
