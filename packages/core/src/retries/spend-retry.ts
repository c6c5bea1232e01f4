import {initialRetryTokens} from '../constants.js';
import {type Node} from '../node/node.js';

/**
 * Takes one retry from the budget of a pool.
 *
 * @param node - the node, updated in place
 * @param pool - name of the pool
 * @returns whether there was one
 * @example
 * if (!spendRetry(node, task.pool)) refuse('retry-budget-exhausted');
 */
export function spendRetry(node: Node, pool: string): boolean {
	const {tokens} = node.retries;
	const left = tokens.get(pool) ?? initialRetryTokens;
	if (left < 1) {
		return false;
	}

	tokens.set(pool, left - 1);
	return true;
}
