import {minimumObservations} from '../constants.js';
import {type Node, type Task} from '../node/node.js';

/**
 * Tells whether a task would wait past its deadline even in the best case: by the mean run time of the task's queue,
 * the queued tasks of its own team and class take longer even if the team gets all the slots that its limit and the
 * pool allow.
 *
 * @param node - the node
 * @param task - a task that is not queued
 * @param at - now, in milliseconds
 * @returns whether the deadline will be missed; false until the run time of the queue is known from enough tasks
 * @example
 * if (willWaitPastDeadline(node, task, at)) refuse(task, 'deadline-exceeded');
 */
export function willWaitPastDeadline(node: Node, task: Task, at: number): boolean {
	const pool = node.shares.pools.get(task.pool);
	const ahead = pool?.flows.get(`${task.team}/${task.class}`)?.tasks.length ?? 0;
	const runTime = node.shares.runTimes.get(task.queue);
	const limit = node.snapshot.catalogue.teams[task.team]?.limits.running ?? 0;
	const slots = Math.min(limit, pool?.capacity ?? 0);
	if (runTime === undefined || runTime.observations < minimumObservations || slots === 0) {
		return false;
	}

	return (ahead * runTime.meanMs) / slots > task.deadlineAt - at;
}
