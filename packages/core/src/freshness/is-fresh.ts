import {freshnessLimitMs} from '../constants.js';
import {type Node} from '../node/node.js';

/**
 * Tells whether a node may start work under its configuration.
 *
 * @param node - the node
 * @param at - now, in milliseconds
 * @returns whether the configuration was confirmed within the freshness limit
 * @example
 * if (!isFresh(node, at)) refuse('configuration-stale');
 */
export function isFresh(node: Node, at: number): boolean {
	return at - node.freshness.currentAt <= freshnessLimitMs;
}
