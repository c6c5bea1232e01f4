import {initialRetryTokens, maximumRetryTokens, retryTokensPerSuccess} from '../constants.js';
import {type Node} from '../node/node.js';

/**
 * Adds tokens to the retry budget of a pool after a successful request.
 *
 * @param node - the node, updated in place
 * @param pool - name of the pool
 * @example
 * addRetryTokens(node, task.pool);
 */
export function addRetryTokens(node: Node, pool: string): void {
	const {retryTokens} = node.retries;
	retryTokens.set(pool, Math.min(maximumRetryTokens, (retryTokens.get(pool) ?? initialRetryTokens) + retryTokensPerSuccess));
}
