import {isStepReady} from '../state/is-step-ready.js';
import {isUnassigned} from '../state/is-unassigned.js';
import {type ActiveJob} from '../state/scheduler.js';

/**
 * Tells whether a job has tasks that can be placed. The answer is kept with the job until its tasks change.
 *
 * @param job - the job; its kept answer is changed
 * @returns true if a step is ready and has groups that are not assigned to workers
 * @example
 * [...scheduler.jobs.values()].filter(job => hasReadyTasks(job));
 */
export function hasReadyTasks(job: ActiveJob): boolean {
	if (job.readiness?.changes !== job.changes) {
		job.readiness = {changes: job.changes, hasReadyTasks: findReadyTasks(job)};
	}

	return job.readiness.hasReadyTasks;
}

function findReadyTasks({occurrences}: ActiveJob): boolean {
	for (const steps of occurrences.values()) {
		for (const step of steps) {
			if (isStepReady(steps, step) && step.groups.some(group => isUnassigned(group))) {
				return true;
			}
		}
	}

	return false;
}
