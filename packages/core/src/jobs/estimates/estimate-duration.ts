import {type ActiveJob, type Scheduler} from '../state/scheduler.js';

/**
 * Estimates how long a task of a step runs. Every decision that depends on run times uses this estimate, not the one that
 * the caller sent with the job.
 *
 * @param _scheduler - the state
 * @param job - the job
 * @param step - position of the step in the job
 * @returns milliseconds
 * @example
 * estimateDuration(scheduler, job, 0);
 */
export function estimateDuration(_scheduler: Scheduler, job: ActiveJob, step: number): number {
	return job.definition.steps[step]?.estimatedMs ?? 0;
}
