import {type Effect} from '../node/effect.js';
import {type EventOf} from '../node/event.js';
import {type Node} from '../node/node.js';

/**
 * Records that the store confirmed the configuration to be current.
 *
 * @param node - the node, updated in place
 * @param event - the confirmation; `at` is the time from which it counts
 * @returns no effects
 * @example
 * confirmConfiguration(node, {type: 'configuration-confirmed', at: 10});
 */
export function confirmConfiguration(node: Node, event: EventOf<'configuration-confirmed'>): Effect[] {
	const {freshness} = node;
	freshness.storeContactAt = Math.max(freshness.storeContactAt, event.at);
	freshness.currentAt = Math.max(freshness.currentAt, event.at);
	return [];
}
