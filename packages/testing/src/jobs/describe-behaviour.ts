import {type Job} from '@rosemaryquay/core/jobs/state/job-schema';
import {type TaskBehaviour} from './worker-model.js';

/**
 * Returns the behaviour of a task of the model: it takes as long as its step estimates, and runs until it is stopped if the step is long-running.
 *
 * @param task - identifier of the task
 * @param job - job of the task
 * @param changes - properties that override the defaults
 * @returns the behaviour
 * @example
 * describeBehaviour('a.0.0.1', job, {fails: true});
 */
export function describeBehaviour(task: string, job: Job, changes: Partial<TaskBehaviour> = {}): TaskBehaviour {
	const definition = job.steps[Number(task.split('.')[2])];
	return {
		durationMs: definition?.estimatedMs ?? 0, fails: false, runsUntilStopped: definition?.longRunning ?? false, stalls: false, crashesWorker: false, ...changes,
	};
}
