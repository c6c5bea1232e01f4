import {type Node, type Task} from '../node/node.js';

/**
 * Takes a task out of the queue of its pool.
 *
 * @param node - the node, updated in place
 * @param task - the task
 * @returns whether the task was queued
 * @example
 * removeTask(node, task);
 */
export function removeTask(node: Node, task: Task): boolean {
	const waiting = node.shares.pools.get(task.pool)?.byTeam.get(task.team);
	const index = waiting?.indexOf(task) ?? -1;
	if (waiting === undefined || index === -1) {
		return false;
	}

	waiting.splice(index, 1);
	return true;
}
