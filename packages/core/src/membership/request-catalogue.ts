import {recordHigher} from '../catalogue/record-higher.js';
import {storeAwayMs, summaryIntervalMs} from '../constants.js';
import {type Effect} from '../node/effect.js';
import {type Node} from '../node/node.js';

/** Time in which the watch or a listing brings a revision that the store has. */
const listingTimeMs = 500;

/**
 * Asks for a revision that another member has shown: the store while the node has contact with it,
 * otherwise the member itself.
 *
 * @param node - the node, updated in place
 * @param higher - who showed which revision
 * @param at - now, in milliseconds
 * @returns a `catalogue-request`, or nothing while the watch or a listing of the store will bring the revision
 * @example
 * const effects = requestCatalogue(node, {from: 'entry-2', revision: 8}, at);
 */
export function requestCatalogue(node: Node, higher: {from: string; revision: number}, at: number): Effect[] {
	const {catalogue, membership, freshness} = node;
	if (!recordHigher(node, higher, at)) {
		return [];
	}

	// A member without the store asks at once; the others give the watch and a listing their time first.
	const storeAway = at - freshness.confirmedAt >= storeAwayMs || catalogue.failures > 0;
	const waited = at - (catalogue.higher?.seenAt ?? at) >= listingTimeMs;
	if (!(storeAway || waited) || at - membership.requestedAt < summaryIntervalMs) {
		return [];
	}

	membership.requestedAt = at;
	return [{type: 'peer-send', to: higher.from, message: {type: 'catalogue-request', member: node.id, revision: catalogue.accepted.revision}}];
}
