import {type Node, type Task} from '../node/node.js';
import {BrokenInvariant} from '../broken-invariant.js';
import {getOrCreateAccount} from './get-or-create-account.js';
import {getOrCreatePool} from './get-or-create-pool.js';

/**
 * Removes an ended attempt from its team's account in the pool.
 *
 * @param node - the node, updated in place
 * @param task - the task of the attempt
 * @throws {BrokenInvariant} when no task of the team is running in the pool
 * @example
 * recordAttemptEnd(node, task);
 */
export function recordAttemptEnd(node: Node, task: Task): void {
	const account = getOrCreateAccount(getOrCreatePool(node, task.pool), task.team);
	if (account.running === 0) {
		throw new BrokenInvariant(`Cannot end an attempt of team "${task.team}" in pool "${task.pool}": it has no running task`);
	}

	account.running -= 1;
	account.runningUrgent -= task.class === 'urgent' ? 1 : 0;
}
