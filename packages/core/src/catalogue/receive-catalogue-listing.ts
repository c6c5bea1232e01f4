import {type Effect} from '../node/effect.js';
import {type EventOf} from '../node/event.js';
import {type Node} from '../node/node.js';
import {confirmConfiguration} from '../freshness/confirm-configuration.js';
import {isIntroduced} from '../freshness/is-introduced.js';
import {lacksRevision} from '../freshness/lacks-revision.js';
import {type Listing} from '../store/transaction.js';
import {nameKeys} from './name-keys.js';
import {noteStoreOutcome} from './note-store-outcome.js';
import {parseHead} from './parse-head.js';
import {recordHigher} from './record-higher.js';
import {refreshCatalogue} from './refresh-catalogue.js';
import {retryEdits} from './retry-edits.js';
import {tickCatalogue} from './tick-catalogue.js';

/** Records a store contact if the head shows no revision that the node lacks. */
function confirm(node: Node, headRevision: number, sentAt: number, at: number): Effect[] {
	if (recordHigher(node, {from: 'store', revision: headRevision}, at)) {
		return [];
	}

	return lacksRevision(node, at) || !isIntroduced(node, at) ? [] : confirmConfiguration(node, {type: 'configuration-confirmed', at: sentAt});
}

function receiveHead(node: Node, listing: Listing, sentAt: number, at: number): Effect[] {
	const {catalogue} = node;
	const headRevision = parseHead(listing.entries[0]?.value);
	if (headRevision < catalogue.accepted.revision) {
		// The store may have been restored from an older state; a listing shows what it has lost.
		catalogue.listWanted = true;
	}

	return confirm(node, headRevision, sentAt, at);
}

/**
 * Handles a listing of the catalogue or of its head.
 *
 * @param node - the node, updated in place
 * @param event - the listing
 * @returns the reports, and the next calls
 * @example
 * receiveCatalogueListing(node, {type: 'store-listed', at: 5, purpose: 'catalogue', id: 'all', outcome});
 */
export function receiveCatalogueListing(node: Node, event: EventOf<'store-listed'>): Effect[] {
	const {catalogue} = node;
	const {id, outcome, at} = event;
	const effects = noteStoreOutcome(node, outcome.ok, at);
	if (id === 'head') {
		const sentAt = catalogue.headPendingAt ?? Number.NEGATIVE_INFINITY;
		catalogue.headPendingAt = undefined;
		return outcome.ok ? [...effects, ...receiveHead(node, outcome.value, sentAt, at)] : effects;
	}

	catalogue.listing = false;
	if (!outcome.ok || catalogue.prefix === undefined) {
		return effects;
	}

	catalogue.listWanted = false;
	catalogue.listed = true;
	catalogue.view.clear();
	catalogue.viewRevision = outcome.value.revision;
	const {rejected, head} = nameKeys(catalogue.prefix);
	for (const entry of outcome.value.entries) {
		if (!entry.key.startsWith(rejected)) {
			catalogue.view.set(entry.key, entry);
		}
	}

	for (const pending of catalogue.edits.values()) {
		if (pending.unresolved === undefined) {
			pending.retryAt = at;
		}
	}

	effects.push(
		...refreshCatalogue(node, at),
		...confirm(node, parseHead(catalogue.view.get(head)?.value), catalogue.listSentAt, at),
		...retryEdits(node, at),
		...tickCatalogue(node, event),
	);
	return effects;
}
