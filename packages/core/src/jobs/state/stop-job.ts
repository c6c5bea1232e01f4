import {listRuns} from '../copies/list-runs.js';
import {stopTask} from '../runs/stop-task.js';
import {type ReducerContext} from './reducer-context.js';
import {type ActiveJob} from './scheduler.js';

/**
 * Stops all tasks of a job.
 *
 * @param context - the reducer context; its state is changed
 * @param job - the job
 * @example
 * stopJob(context, job);
 */
export function stopJob(context: ReducerContext, job: ActiveJob): void {
	for (const steps of job.occurrences.values()) {
		for (const {groups} of steps) {
			for (const task of groups.flatMap(group => listRuns(group))) {
				if (task.state === 'starting' || task.state === 'running') {
					stopTask(context, task);
				}
			}
		}
	}
}
