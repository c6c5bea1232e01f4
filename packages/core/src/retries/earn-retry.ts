import {maximumRetryTokens, retryTokensPerSuccess} from '../constants.js';
import {type Node} from '../node/node.js';

/**
 * Adds to the retry budget for a successful request.
 *
 * @param node - the node, updated in place
 * @example
 * earnRetry(node);
 */
export function earnRetry(node: Node): void {
	node.retries.tokens = Math.min(maximumRetryTokens, node.retries.tokens + retryTokensPerSuccess);
}
