import {type Node} from '../node/node.js';
import {type PoolShares} from './shares.js';

/**
 * Gets the queues and shares of a pool and creates them if they are missing.
 *
 * @param node - the node, updated in place
 * @param name - name of the pool
 * @returns the pool's queues and shares
 * @example
 * const pool = getOrCreatePool(node, task.pool);
 */
export function getOrCreatePool(node: Node, name: string): PoolShares {
	let pool = node.shares.pools.get(name);
	if (pool === undefined) {
		pool = {
			flows: new Map(),
			accounts: new Map(),
			virtualTime: 0,
			refreshedAt: Number.NEGATIVE_INFINITY,
			saturated: false,
			capacity: 0,
			reservedSlots: 0,
			remoteRunning: 0,
		};
		node.shares.pools.set(name, pool);
	}

	return pool;
}
