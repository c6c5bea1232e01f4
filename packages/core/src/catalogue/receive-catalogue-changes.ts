import {type Effect} from '../node/effect.js';
import {type EventOf} from '../node/event.js';
import {type Node} from '../node/node.js';
import {buildCatalogueKeys} from './build-catalogue-keys.js';
import {refreshCatalogue} from './refresh-catalogue.js';

/**
 * Handles an update of the watch on the catalogue. Changes that the view already has are skipped; the
 * end of the watch causes a new listing.
 *
 * @param node - the node, updated in place
 * @param event - the update
 * @returns the log report of a newer or invalid catalogue
 * @example
 * receiveCatalogueChanges(node, {type: 'store-watched', at: 5, purpose: 'catalogue', id: '1', update: {type: 'ended'}});
 */
export function receiveCatalogueChanges(node: Node, event: EventOf<'store-watched'>): Effect[] {
	const {catalogue} = node;
	const {id, update, at} = event;
	if (id !== String(catalogue.watchId) || catalogue.prefix === undefined) {
		return [];
	}

	if (update.type !== 'changed') {
		catalogue.watching = false;
		catalogue.listingNeeded = true;
		return [];
	}

	const {sections, rejected} = buildCatalogueKeys(catalogue.prefix);
	const changed: string[] = [];
	for (const {key, value, modRevision} of update.changes) {
		if (modRevision <= (catalogue.view.get(key)?.modRevision ?? 0) || key.startsWith(rejected)) {
			continue;
		}

		if (value === undefined) {
			catalogue.view.delete(key);
		} else {
			catalogue.view.set(key, {key, value, modRevision});
		}

		if (key.startsWith(sections)) {
			changed.push(key.slice(sections.length));
		}
	}

	catalogue.viewRevision = Math.max(catalogue.viewRevision, update.revision);
	return refreshCatalogue(node, at, changed);
}
