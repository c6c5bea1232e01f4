import {type Effect} from '../node/effect.js';
import {type EventOf} from '../node/event.js';
import {type Node} from '../node/node.js';
import {tickCatalogue} from './tick-catalogue.js';

/**
 * Starts to list and watch the catalogue in the store.
 *
 * @param node - the node, updated in place
 * @param event - the start of the process
 * @returns the first listing
 * @example
 * startCatalogue(node, {type: 'process-started', at: 0, address: '127.0.0.1:8081', incarnation: 1, prefix: 'rosemaryquay/'});
 */
export function startCatalogue(node: Node, event: EventOf<'process-started'>): Effect[] {
	node.catalogue.prefix = event.prefix;
	return tickCatalogue(node, event);
}
