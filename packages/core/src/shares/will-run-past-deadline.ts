import {minimumObservations} from '../constants.js';
import {type Node, type Task} from '../node/node.js';

/**
 * Tells whether a queued task would be cancelled at its deadline if it started now, according to the
 * observed run times of its queue. Such an attempt would waste its slot.
 *
 * @param node - the node
 * @param task - the task; never late once a checkpoint has saved its progress, as it has run in part
 * @param at - now, in milliseconds
 * @returns whether less than the mean run time is left; false while too few runs were observed
 * @example
 * if (willRunPastDeadline(node, task, at)) refuse(task, 'deadline-exceeded');
 */
export function willRunPastDeadline(node: Node, task: Pick<Task, 'queue' | 'deadlineAt' | 'resume'>, at: number): boolean {
	const runTime = node.shares.runTimes.get(task.queue);
	if (runTime === undefined || runTime.observations < minimumObservations || task.resume !== undefined) {
		return false;
	}

	return task.deadlineAt - at < runTime.meanMs;
}
