import {type ActiveJob, type Scheduler} from '../state/scheduler.js';
import {estimateDuration} from './estimate-duration.js';

/**
 * Estimates the length of the critical path through the steps of a job.
 *
 * @param scheduler - the state
 * @param job - the job
 * @param isRemaining - tells whether a step still has work; all by default
 * @returns milliseconds
 * @example
 * estimateCriticalPath(scheduler, job);
 */
export function estimateCriticalPath(scheduler: Scheduler, job: ActiveJob, isRemaining: (position: number) => boolean = () => true): number {
	const ends: number[] = [];
	for (const [position, {after}] of job.definition.steps.entries()) {
		const start = Math.max(0, ...after.map(earlier => ends[earlier] ?? 0));
		ends.push(start + (isRemaining(position) ? estimateDuration(scheduler, job, position) : 0));
	}

	return Math.max(0, ...ends);
}
