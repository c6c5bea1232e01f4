import {type Node} from '../node/node.js';

/**
 * Records the time of an event before it is handled, so that a node that was paused judges its
 * member lease by the present time. An event may carry an earlier time than the one before it.
 *
 * @param node - the node, updated in place
 * @param at - time of the event, in milliseconds
 * @example
 * observeTime(node, event.at);
 */
export function observeTime(node: Node, at: number): void {
	node.limits.now = Math.max(node.limits.now, at);
}
