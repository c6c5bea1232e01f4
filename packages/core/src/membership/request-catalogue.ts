import {recordNewerRevision} from '../catalogue/record-newer-revision.js';
import {storeOutageThresholdMs, summaryIntervalMs} from '../constants.js';
import {type Effect} from '../node/effect.js';
import {type Node} from '../node/node.js';

/** Time for the watch or a listing to deliver a revision that the store has. */
const storeGracePeriodMs = 500;

/**
 * Requests a newer revision from the member that has shown it: at once while the store is unreachable,
 * otherwise only when the watch or a listing has not delivered it within the grace period.
 *
 * @param node - the node, updated in place
 * @param shown - the revision, and the member that showed it
 * @param at - now, in milliseconds
 * @returns a `catalogue-request`, or nothing while the watch or a listing of the store can deliver the revision
 * @example
 * const effects = requestCatalogue(node, {from: 'entry-2', revision: 8}, at);
 */
export function requestCatalogue(node: Node, shown: {from: string; revision: number}, at: number): Effect[] {
	const {catalogue, membership, freshness} = node;
	if (!recordNewerRevision(node, shown, at)) {
		return [];
	}

	// A member without store contact requests it at once; the others first wait for the watch or a listing to deliver it.
	const isStoreUnreachable = at - freshness.storeContactAt >= storeOutageThresholdMs || catalogue.failures > 0;
	const isGracePeriodOver = at - (catalogue.newerRevision?.firstSeenAt ?? at) >= storeGracePeriodMs;
	if (!(isStoreUnreachable || isGracePeriodOver) || at - membership.catalogueRequestedAt < summaryIntervalMs) {
		return [];
	}

	membership.catalogueRequestedAt = at;
	return [{type: 'peer-send', to: shown.from, message: {type: 'catalogue-request', member: node.id, revision: catalogue.accepted.revision}}];
}
