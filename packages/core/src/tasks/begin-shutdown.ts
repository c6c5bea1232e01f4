import {type Effect} from '../node/effect.js';
import {type Node} from '../node/node.js';

/**
 * Starts a graceful shutdown: new requests are refused, admitted ones finish.
 *
 * @param node - the node, updated in place
 * @returns no effects
 * @example
 * beginShutdown(node);
 */
export function beginShutdown(node: Node): Effect[] {
	node.tasks.shuttingDown = true;
	return [];
}
