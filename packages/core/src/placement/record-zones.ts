import {type Effect} from '../node/effect.js';
import {type EventOf} from '../node/event.js';
import {type Node} from '../node/node.js';

/**
 * Records which availability zones a new catalogue withdraws and restores. A restored one returns
 * to its full part of the work over the time that its entry gives.
 *
 * @param node - the node with the new catalogue in force, updated in place
 * @param event - the loaded catalogue
 * @returns no effects
 * @example
 * recordZones(node, {type: 'catalogue-loaded', at: 0, snapshot});
 */
export function recordZones(node: Node, event: EventOf<'catalogue-loaded'>): Effect[] {
	const {withdrawn, restoredAt} = node.placement;
	for (const [name, zone] of Object.entries(node.snapshot.catalogue.zones)) {
		if (zone.withdrawn) {
			withdrawn.add(name);
			restoredAt.delete(name);
		} else if (withdrawn.delete(name)) {
			restoredAt.set(name, event.at);
		}
	}

	return [];
}
