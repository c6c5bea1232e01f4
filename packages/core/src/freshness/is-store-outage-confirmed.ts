import {freshnessLimitMs} from '../constants.js';
import {type Node} from '../node/node.js';

/**
 * Tells whether a majority of the last known members, with this node, confirm that the store is unreachable for all of them.
 *
 * @param node - the node
 * @param at - now, in milliseconds
 * @returns whether the confirmation is within the freshness limit
 * @example
 * const mayContinue = isMemberLeaseValid(node, at) || isStoreOutageConfirmed(node, at);
 */
export function isStoreOutageConfirmed(node: Node, at: number): boolean {
	return at - node.freshness.outageConfirmedAt <= freshnessLimitMs;
}
