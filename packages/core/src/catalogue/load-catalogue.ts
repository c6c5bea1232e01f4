import {type Effect} from '../node/effect.js';
import {type EventOf} from '../node/event.js';
import {recordZoneChanges} from '../shares/record-zone-changes.js';
import {type Node} from '../node/node.js';

/**
 * Replaces the catalogue in force by a newer one, for a host without a store. Other revisions are ignored, because the revision in force never decreases.
 *
 * @param node - the node, updated in place
 * @param event - the loaded catalogue
 * @returns no effects
 * @example
 * loadCatalogue(node, {type: 'catalogue-loaded', at: 0, snapshot});
 */
export function loadCatalogue(node: Node, event: EventOf<'catalogue-loaded'>): Effect[] {
	if (event.snapshot.revision > node.snapshot.revision) {
		node.snapshot = event.snapshot;
		recordZoneChanges(node, event.at);
	}

	return [];
}
