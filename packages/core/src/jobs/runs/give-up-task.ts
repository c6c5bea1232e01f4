import {clearExplainedCrashes} from '../crashes/clear-explained-crashes.js';
import {findQueuePolicy} from '../state/find-queue-policy.js';
import {failJob} from '../state/fail-job.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type TaskGroup} from '../state/scheduler.js';

/**
 * Gives up a task that crashes its workers. Its job fails.
 *
 * @param context - the reducer context; its state is changed
 * @param group - the task group
 * @example
 * giveUpTask(context, group);
 */
export function giveUpTask(context: ReducerContext, group: TaskGroup): void {
	context.effects.push({
		type: 'log', level: 'warn', event: 'task-given-up', fields: {task: group.tasks[0]?.id, runs: [...group.crashedRuns]},
	});
	clearExplainedCrashes(context, group);
	context.scheduler.givenUpAt.set(findQueuePolicy(context.scheduler, group.job).service, context.now);
	failJob(context, group.job);
}
