import {summaryRetentionMs} from '../constants.js';
import {type Node} from '../node/node.js';

/**
 * Tells whether another member or the store has shown a revision, within the retention period, that
 * is newer than that of the node.
 *
 * @param node - the node
 * @param at - now, in milliseconds
 * @returns whether the configuration is known not to be current
 * @example
 * if (isConfigurationOutdated(node, at)) waitForCatalogue();
 */
export function isConfigurationOutdated(node: Node, at: number): boolean {
	const {newerRevision} = node.catalogue;
	return newerRevision !== undefined && newerRevision.revision > node.snapshot.revision && at - newerRevision.lastSeenAt <= summaryRetentionMs;
}
