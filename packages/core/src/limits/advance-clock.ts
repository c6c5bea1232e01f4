import {type Node} from '../node/node.js';

/**
 * Advances the node's clock to the time of an event before the event is handled, so that a node that
 * was paused checks its member lease against the current time. The clock never goes back, although
 * an event may carry an earlier time than the one before it.
 *
 * @param node - the node, updated in place
 * @param at - time of the event, in milliseconds
 * @example
 * advanceClock(node, event.at);
 */
export function advanceClock(node: Node, at: number): void {
	node.limits.now = Math.max(node.limits.now, at);
}
