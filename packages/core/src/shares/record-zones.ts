import {type Effect} from '../node/effect.js';
import {type EventOf} from '../node/event.js';
import {type Node} from '../node/node.js';

/**
 * Records when availability zones were withdrawn and restored. A zone that is in service when it
 * is first seen counts as fully returned.
 *
 * @param node - the node, updated in place
 * @param event - the new catalogue
 * @returns no effects
 * @example
 * recordZones(node, {type: 'catalogue-loaded', at: 0, snapshot});
 */
export function recordZones(node: Node, event: EventOf<'catalogue-loaded'>): Effect[] {
	for (const [name, {withdrawn}] of Object.entries(node.snapshot.catalogue.zones)) {
		const known = node.shares.zones.get(name);
		if (known === undefined) {
			node.shares.zones.set(name, {withdrawn, changedAt: Number.NEGATIVE_INFINITY});
		} else if (known.withdrawn !== withdrawn) {
			node.shares.zones.set(name, {withdrawn, changedAt: event.at});
		}
	}

	return [];
}
