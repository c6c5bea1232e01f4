import {explanationWaitMs, isolationMs} from '../state/constants.js';
import {type Scheduler, type TaskGroup} from '../state/scheduler.js';

/**
 * Lists the task groups whose run in isolation has not shown yet whether their image crashes workers: the worker has not
 * answered since the run should have been up for long, or its loss is not explained.
 *
 * @param scheduler - the state
 * @param now - local time in milliseconds
 * @returns the task groups
 * @example
 * listImageTrials(scheduler, now).map(({definition}) => definition.image);
 */
export function listImageTrials(scheduler: Scheduler, now: number): TaskGroup[] {
	const trials: TaskGroup[] = [];
	for (const {tasks, lastResponseAt, unexplainedLoss} of scheduler.workers.values()) {
		for (const {group, run} of tasks) {
			if (group.isolation?.run === run && lastResponseAt - group.isolation.startedAt < isolationMs) {
				trials.push(group);
			}
		}

		if (unexplainedLoss !== undefined && now < unexplainedLoss.lostAt + explanationWaitMs) {
			trials.push(...unexplainedLoss.runs.filter(({isolated}) => isolated).map(({task}) => task.group));
		}
	}

	return trials;
}
