import {type Node, type Task} from '../node/node.js';
import {hasHeadroom} from '../limits/has-headroom.js';

/**
 * Chooses the task of a pool that starts next. The task stays queued.
 *
 * @param node - the node
 * @param pool - name of the pool
 * @returns the task, or `undefined` when none may start
 * @example
 * const task = nextTask(node, 'web');
 */
export function nextTask(node: Node, pool: string): Task | undefined {
	let best: Task | undefined;
	for (const [team, waiting] of node.shares.pools.get(pool)?.byTeam ?? []) {
		const first = waiting[0];
		if (first === undefined || !hasHeadroom(node, team)) {
			continue;
		}

		if (best === undefined || first.arrivedAt < best.arrivedAt) {
			best = first;
		}
	}

	return best;
}
