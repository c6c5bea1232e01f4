import {type ActiveJob, type Scheduler} from '../state/scheduler.js';
import {estimateDuration} from './estimate-duration.js';

/**
 * Estimates the work of a job by its cores.
 *
 * @param scheduler - the state
 * @param job - the job
 * @param countTasks - number of tasks of a step to count, by the position of the step; all of them by default
 * @returns thousandths of a core times milliseconds
 * @example
 * estimateWork(scheduler, job);
 */
export function estimateWork(scheduler: Scheduler, job: ActiveJob, countTasks: (position: number) => number = position => job.definition.steps[position]?.count ?? 0): number {
	let work = 0;
	for (const [position, {cpuMillis}] of job.definition.steps.entries()) {
		work += cpuMillis * estimateDuration(scheduler, job, position) * countTasks(position);
	}

	return work;
}
