import {type Effect} from '../node/effect.js';
import {type EventOf} from '../node/event.js';
import {type Node} from '../node/node.js';
import {confirmConfiguration} from '../freshness/confirm-configuration.js';
import {isBootstrapped} from '../freshness/is-bootstrapped.js';
import {isConfigurationOutdated} from '../freshness/is-configuration-outdated.js';
import {type Listing} from '../store/transaction.js';
import {buildCatalogueKeys} from './build-catalogue-keys.js';
import {recordCatalogueStoreOutcome} from './record-catalogue-store-outcome.js';
import {parseHead} from './parse-head.js';
import {recordNewerRevision} from './record-newer-revision.js';
import {refreshCatalogue} from './refresh-catalogue.js';
import {retryEdits} from './retry-edits.js';
import {tickCatalogue} from './tick-catalogue.js';

/** Confirms the configuration, unless the head shows a newer revision. */
function confirmFromHead(node: Node, headRevision: number, sentAt: number, at: number): Effect[] {
	if (recordNewerRevision(node, {from: 'store', revision: headRevision}, at)) {
		return [];
	}

	return isConfigurationOutdated(node, at) || !isBootstrapped(node, at) ? [] : confirmConfiguration(node, {type: 'configuration-confirmed', at: sentAt});
}

function receiveHead(node: Node, listing: Listing, sentAt: number, at: number): Effect[] {
	const {catalogue} = node;
	const headRevision = parseHead(listing.entries[0]?.value);
	if (headRevision < catalogue.accepted.revision) {
		// The store may have been restored from an older state; a listing shows which entries it has lost.
		catalogue.listingNeeded = true;
	}

	return confirmFromHead(node, headRevision, sentAt, at);
}

/**
 * Handles a listing of the whole catalogue, or a read of its head.
 *
 * @param node - the node, updated in place
 * @param event - the listing or read
 * @returns the log reports, and the next store calls
 * @example
 * receiveCatalogueListing(node, {type: 'store-listed', at: 5, purpose: 'catalogue', id: 'all', outcome});
 */
export function receiveCatalogueListing(node: Node, event: EventOf<'store-listed'>): Effect[] {
	const {catalogue} = node;
	const {id, outcome, at} = event;
	const effects = recordCatalogueStoreOutcome(node, outcome.ok, at);
	if (id === 'head') {
		const sentAt = catalogue.pendingHeadSentAt ?? Number.NEGATIVE_INFINITY;
		catalogue.pendingHeadSentAt = undefined;
		return outcome.ok ? [...effects, ...receiveHead(node, outcome.value, sentAt, at)] : effects;
	}

	catalogue.listing = false;
	if (!outcome.ok || catalogue.prefix === undefined) {
		return effects;
	}

	catalogue.listingNeeded = false;
	catalogue.listed = true;
	catalogue.view.clear();
	catalogue.viewRevision = outcome.value.revision;
	const {rejected, head} = buildCatalogueKeys(catalogue.prefix);
	for (const entry of outcome.value.entries) {
		if (!entry.key.startsWith(rejected)) {
			catalogue.view.set(entry.key, entry);
		}
	}

	for (const pending of catalogue.edits.values()) {
		if (pending.transaction === undefined) {
			pending.retryAt = at;
		}
	}

	effects.push(
		...refreshCatalogue(node, at),
		...confirmFromHead(node, parseHead(catalogue.view.get(head)?.value), catalogue.listingSentAt, at),
		...retryEdits(node, at),
		...tickCatalogue(node, event),
	);
	return effects;
}
