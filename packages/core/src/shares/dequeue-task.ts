import {type Node, type Task} from '../node/node.js';
import {getOrCreateAccount} from './get-or-create-account.js';

/**
 * Removes a task from the queue of its pool.
 *
 * @param node - the node, updated in place
 * @param task - the task
 * @returns whether the task was queued
 * @example
 * dequeueTask(node, task);
 */
export function dequeueTask(node: Node, task: Task): boolean {
	const pool = node.shares.pools.get(task.pool);
	const key = `${task.team}/${task.class}`;
	const flow = pool?.flows.get(key);
	const index = flow?.tasks.indexOf(task) ?? -1;
	if (pool === undefined || flow === undefined || index === -1) {
		return false;
	}

	flow.tasks.splice(index, 1);
	getOrCreateAccount(pool, task.team).queued -= 1;
	// The finish tag of an idle flow matters only while it is ahead of virtual time.
	if (flow.tasks.length === 0 && flow.finishTag <= pool.virtualTime) {
		pool.flows.delete(key);
	}

	return true;
}
