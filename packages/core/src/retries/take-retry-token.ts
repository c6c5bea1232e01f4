import {initialRetryTokens} from '../constants.js';
import {type Node} from '../node/node.js';

/**
 * Takes the token for one retry from the budget of a pool.
 *
 * @param node - the node, updated in place
 * @param pool - name of the pool
 * @returns whether there was a token
 * @example
 * if (!takeRetryToken(node, task.pool)) refuse('retry-budget-exhausted');
 */
export function takeRetryToken(node: Node, pool: string): boolean {
	const {retryTokens} = node.retries;
	const available = retryTokens.get(pool) ?? initialRetryTokens;
	if (available < 1) {
		return false;
	}

	retryTokens.set(pool, available - 1);
	return true;
}
