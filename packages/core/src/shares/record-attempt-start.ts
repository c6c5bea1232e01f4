import {type Node, type Task} from '../node/node.js';
import {estimateRunTime} from './estimate-run-time.js';
import {getOrCreateAccount} from './get-or-create-account.js';
import {getOrCreatePool} from './get-or-create-pool.js';

/**
 * Adds a started task to its team's account and advances the virtual time and tags of start-time fair queueing.
 *
 * @param node - the node, updated in place
 * @param task - a task that has been taken out of its queue
 * @param at - now, in milliseconds
 * @example
 * recordAttemptStart(node, task, at);
 */
export function recordAttemptStart(node: Node, task: Task, at: number): void {
	const pool = getOrCreatePool(node, task.pool);
	const account = getOrCreateAccount(pool, task.team);
	account.running += 1;
	account.runningUrgent += task.class === 'urgent' ? 1 : 0;

	const key = `${task.team}/${task.class}`;
	const flow = pool.flows.get(key);
	const weight = node.snapshot.catalogue.teams[task.team]?.share ?? 1;
	const startTag = Math.max(pool.virtualTime, flow?.finishTag ?? 0);
	pool.virtualTime = startTag;
	const finishTag = startTag + (estimateRunTime(node, task) / weight);
	if (flow === undefined) {
		pool.flows.set(key, {
			team: task.team, class: task.class, tasks: [], finishTag, startedAt: at,
		});
	} else {
		flow.finishTag = finishTag;
		flow.startedAt = at;
	}
}
