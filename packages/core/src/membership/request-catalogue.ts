import {freshnessLimitMs, storeAwayMs, summaryIntervalMs} from '../constants.js';
import {type Effect} from '../node/effect.js';
import {type Node} from '../node/node.js';

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
	if (higher.revision <= Math.max(node.snapshot.revision, catalogue.invalidRevision)) {
		return [];
	}

	if (catalogue.higher === undefined || catalogue.higher.revision < higher.revision) {
		catalogue.higher = {...higher, seenAt: catalogue.higher?.seenAt ?? at};
	}

	// A member that has lost the store for longer asks at once; the others give the watch its time first.
	const storeAway = at - freshness.confirmedAt >= storeAwayMs || catalogue.failures > 0;
	const waited = at - catalogue.higher.seenAt >= freshnessLimitMs / 2;
	if (!(storeAway || waited) || at - membership.requestedAt < summaryIntervalMs) {
		return [];
	}

	membership.requestedAt = at;
	return [{type: 'peer-send', to: higher.from, message: {type: 'catalogue-request', member: node.id, revision: catalogue.accepted.revision}}];
}
