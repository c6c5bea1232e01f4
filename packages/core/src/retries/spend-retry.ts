import {type Node} from '../node/node.js';

/**
 * Takes one retry from the budget.
 *
 * @param node - the node, updated in place
 * @returns whether there was one
 * @example
 * if (!spendRetry(node)) refuse('retry-budget-exhausted');
 */
export function spendRetry(node: Node): boolean {
	if (node.retries.tokens < 1) {
		return false;
	}

	node.retries.tokens -= 1;
	return true;
}
