import {type Node, type Task} from '../node/node.js';

/**
 * Puts a task into the queue of its pool.
 *
 * @param node - the node, updated in place
 * @param task - a task that is not queued
 * @returns whether there was room; a full queue leaves the node unchanged
 * @example
 * if (!enqueueTask(node, task)) refuse(task, 'queue-full');
 */
export function enqueueTask(node: Node, task: Task): boolean {
	let pool = node.shares.pools.get(task.pool);
	if (pool === undefined) {
		pool = {byTeam: new Map()};
		node.shares.pools.set(task.pool, pool);
	}

	const waiting = pool.byTeam.get(task.team) ?? [];
	const limit = node.snapshot.catalogue.teams[task.team]?.limits.queued ?? 0;
	if (waiting.length >= limit) {
		return false;
	}

	waiting.push(task);
	pool.byTeam.set(task.team, waiting);
	task.state = 'queued';
	return true;
}
