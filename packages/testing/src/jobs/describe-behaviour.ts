import {type Job} from '@rosemaryquay/core/jobs/job-schema';
import {type Behaviour} from './worker-model.js';

/**
 * Describes what a task of the model does: as long as its step estimates, and lasting where the step says so.
 *
 * @param task - name of the task
 * @param job - its job
 * @param changes - what differs
 * @returns the behaviour
 * @example
 * describeBehaviour('a.0.0.1', job, {fails: true});
 */
export function describeBehaviour(task: string, job: Job, changes: Partial<Behaviour> = {}): Behaviour {
	const definition = job.steps[Number(task.split('.')[2])];
	return {
		durationMs: definition?.estimatedMs ?? 0, fails: false, lasts: definition?.longRunning ?? false, stalls: false, ...changes,
	};
}
