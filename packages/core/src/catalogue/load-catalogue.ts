import {type Effect} from '../node/effect.js';
import {type EventOf} from '../node/event.js';
import {recordZoneChanges} from '../shares/record-zone-changes.js';
import {type Node} from '../node/node.js';

/**
 * Puts a newer catalogue in force. Lower revisions are ignored: revisions never decrease.
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
