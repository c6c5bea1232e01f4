import {summaryRetentionMs} from '../constants.js';
import {type Node} from '../node/node.js';

/**
 * Tells whether another member or the store showed a revision, within the retention period, that
 * the node does not have.
 *
 * @param node - the node
 * @param at - now, in milliseconds
 * @returns whether the configuration is known not to be current
 * @example
 * if (lacksRevision(node, at)) waitForCatalogue();
 */
export function lacksRevision(node: Node, at: number): boolean {
	const {higher} = node.catalogue;
	return higher !== undefined && higher.revision > node.snapshot.revision && at - higher.shownAt <= summaryRetentionMs;
}
