import {type Effect} from '../node/effect.js';
import {type EventOf} from '../node/event.js';
import {type Node} from '../node/node.js';
import {tickMembership} from './tick-membership.js';

/**
 * Starts to register the node in the store, and to list and watch the member records.
 *
 * @param node - the node, updated in place
 * @param event - the start of the process
 * @returns the first store calls
 * @example
 * startMembership(node, {type: 'process-started', at: 0, address: '127.0.0.1:8081', incarnation: 1, prefix: 'rosemaryquay/'});
 */
export function startMembership(node: Node, event: EventOf<'process-started'>): Effect[] {
	const {registration} = node.membership;
	registration.prefix = event.prefix;
	node.membership.startedAt = event.at;
	registration.address = event.address;
	registration.incarnation = event.incarnation;
	return tickMembership(node, event);
}
