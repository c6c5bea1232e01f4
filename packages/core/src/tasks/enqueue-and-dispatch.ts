import {type Effect} from '../node/effect.js';
import {type Node, type Task} from '../node/node.js';
import {enqueueTask} from '../shares/enqueue-task.js';
import {dispatchPool} from './dispatch-pool.js';
import {endTask} from './end-task.js';

/**
 * Queues a task that is ready to start, and starts the tasks of its pool that can start.
 *
 * @param node - the node, updated in place
 * @param task - a task that is not queued
 * @param at - now, in milliseconds
 * @returns the effects; a refusal when the queue is full
 * @example
 * const effects = enqueueAndDispatch(node, task, at);
 */
export function enqueueAndDispatch(node: Node, task: Task, at: number): Effect[] {
	if (!enqueueTask(node, task)) {
		return endTask(node, task, {type: 'refused', reason: 'queue-full'}, at);
	}

	const counts: Effect[] = task.countedAttempts === 0 ? [{type: 'count', counter: 'request.accepted'}] : [];
	return [...counts, ...dispatchPool(node, task.pool, at)];
}
