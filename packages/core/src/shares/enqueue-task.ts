import {type Node, type Task} from '../node/node.js';
import {getOrCreateAccount} from './get-or-create-account.js';
import {getOrCreatePool} from './get-or-create-pool.js';

/**
 * Puts a task into the queue of its pool. A task whose attempt has just ended goes to the front and is never
 * refused: the queue can exceed its limit by no more than the number of running tasks, which is bounded. A retry
 * after a backoff is queued like a new task.
 *
 * @param node - the node, updated in place
 * @param task - a task that is not queued
 * @returns whether there was room; a full queue leaves the node unchanged
 * @example
 * if (!enqueueTask(node, task)) refuse(task, 'queue-full');
 */
export function enqueueTask(node: Node, task: Task): boolean {
	const pool = getOrCreatePool(node, task.pool);
	const account = getOrCreateAccount(pool, task.team);
	const attemptJustEnded = task.state === 'running';
	const limit = node.snapshot.catalogue.teams[task.team]?.limits.queued ?? 0;
	if (!attemptJustEnded && account.queued >= limit) {
		return false;
	}

	const key = `${task.team}/${task.class}`;
	let flow = pool.flows.get(key);
	if (flow === undefined) {
		flow = {
			team: task.team, class: task.class, tasks: [], finishTag: 0, startedAt: Number.NEGATIVE_INFINITY,
		};
		pool.flows.set(key, flow);
	}

	if (attemptJustEnded) {
		flow.tasks.unshift(task);
	} else {
		flow.tasks.push(task);
	}

	account.queued += 1;
	task.state = 'queued';
	return true;
}
