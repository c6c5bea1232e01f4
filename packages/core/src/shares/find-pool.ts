import {type Node} from '../node/node.js';
import {type PoolShares} from './shares.js';

/**
 * Finds the queues and shares of a pool, and creates them when they are missing.
 *
 * @param node - the node, updated in place
 * @param name - name of the pool
 * @returns the pool's queues and shares
 * @example
 * const pool = findPool(node, task.pool);
 */
export function findPool(node: Node, name: string): PoolShares {
	let pool = node.shares.pools.get(name);
	if (pool === undefined) {
		pool = {
			flows: new Map(),
			accounts: new Map(),
			virtualTime: 0,
			plannedAt: Number.NEGATIVE_INFINITY,
			full: false,
			capacity: 0,
			reserve: 0,
			runningElsewhere: 0,
		};
		node.shares.pools.set(name, pool);
	}

	return pool;
}
