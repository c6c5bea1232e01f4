import {estimateCriticalPath} from '../estimates/estimate-critical-path.js';
import {findQueuePolicy} from '../state/find-queue-policy.js';
import {type ActiveJob, type Scheduler} from '../state/scheduler.js';

/**
 * Sort key of a job in the order of placement; compared from left to right, lower values first.
 * `jobClass`: 0 for long-running jobs, 1 for others. `lateness`: 0 if the job can still meet its latency objective, 1 if it
 * is late, 2 if it is too late to be useful. `tieBreaker`: time of acceptance of a long-running job, otherwise remaining work.
 */
export type Rank = readonly [jobClass: number, priority: number, lateness: number, tieBreaker: number];

/** Multiple of its objective beyond which a late job is of little value to its caller. */
const lateObjectiveMultiple = 3;

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
	const {stretch, targetLatencyMs, priority} = findQueuePolicy(scheduler, job);
	const {steps} = job.definition;
	if (steps.some(({longRunning}) => longRunning)) {
		return [0, priority, 0, job.acceptedAt];
	}

	const current = job.occurrences.get(job.completedOccurrences) ?? [];
	const remainingMs = estimateCriticalPath(steps, position => current[position]?.remaining !== 0);
	const objectiveMs = (stretch * job.criticalPathMs) + targetLatencyMs;
	const latencyMs = now + remainingMs - job.acceptedAt;
	let work = 0;
	for (const [position, {cpuMillis, estimatedMs}] of steps.entries()) {
		work += cpuMillis * estimatedMs * (current[position]?.remaining ?? 0);
	}

	return [1, priority, classifyLateness(latencyMs, objectiveMs), work];
}

function classifyLateness(latencyMs: number, objectiveMs: number): number {
	if (latencyMs <= objectiveMs) {
		return 0;
	}

	return latencyMs <= lateObjectiveMultiple * objectiveMs ? 1 : 2;
}
