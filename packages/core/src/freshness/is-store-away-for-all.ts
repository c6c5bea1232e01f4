import {freshnessLimitMs} from '../constants.js';
import {type Node} from '../node/node.js';

/**
 * Tells whether a majority of the last known members, this node among them, confirm that the store is away for all.
 *
 * @param node - the node
 * @param at - now, in milliseconds
 * @returns whether the confirmation is within the freshness limit
 * @example
 * const mayGoOn = isMemberLeaseValid(node, at) || isStoreAwayForAll(node, at);
 */
export function isStoreAwayForAll(node: Node, at: number): boolean {
	return at - node.freshness.awayAt <= freshnessLimitMs;
}
