import {type Node, type Task} from '../node/node.js';
import {expectRunTime} from './expect-run-time.js';
import {findAccount} from './find-account.js';
import {findPool} from './find-pool.js';

/**
 * Charges a started task to its team and advances the tags of start-time fair queueing.
 *
 * @param node - the node, updated in place
 * @param task - a task that has been taken out of its queue
 * @param at - now, in milliseconds
 * @example
 * countStart(node, task, at);
 */
export function countStart(node: Node, task: Task, at: number): void {
	const pool = findPool(node, task.pool);
	const account = findAccount(pool, task.team);
	account.running += 1;
	account.urgent += task.class === 'urgent' ? 1 : 0;

	const key = `${task.team}/${task.class}`;
	const flow = pool.flows.get(key);
	const weight = node.snapshot.catalogue.teams[task.team]?.share ?? 1;
	const startTag = Math.max(pool.virtualTime, flow?.finishTag ?? 0);
	pool.virtualTime = startTag;
	const finishTag = startTag + (expectRunTime(node, task) / weight);
	if (flow === undefined) {
		pool.flows.set(key, {
			team: task.team, class: task.class, tasks: [], finishTag, startedAt: at,
		});
	} else {
		flow.finishTag = finishTag;
		flow.startedAt = at;
	}
}
