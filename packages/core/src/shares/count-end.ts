import {type Node, type Task} from '../node/node.js';
import {BrokenInvariant} from '../broken-invariant.js';
import {findAccount} from './find-account.js';
import {findPool} from './find-pool.js';

/**
 * Frees the slot of an ended attempt in its team's account.
 *
 * @param node - the node, updated in place
 * @param task - the task of the attempt
 * @throws {BrokenInvariant} when no task of the team is running in the pool
 * @example
 * countEnd(node, task);
 */
export function countEnd(node: Node, task: Task): void {
	const account = findAccount(findPool(node, task.pool), task.team);
	if (account.running === 0) {
		throw new BrokenInvariant(`A slot of team "${task.team}" in pool "${task.pool}" was freed twice`);
	}

	account.running -= 1;
	account.urgent -= task.class === 'urgent' ? 1 : 0;
}
