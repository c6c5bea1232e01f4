import {type Node} from '../node/node.js';

/**
 * Records that a revision above the one in force exists, unless it is known to be invalid.
 *
 * @param node - the node, updated in place
 * @param shown - the revision, and the member that showed it, or `store` for the head
 * @param at - now, in milliseconds
 * @returns whether the node lacks the revision
 * @example
 * if (recordNewerRevision(node, {from: 'entry-2', revision: 8}, at)) request();
 */
export function recordNewerRevision(node: Node, shown: {from: string; revision: number}, at: number): boolean {
	const {catalogue, snapshot} = node;
	if (shown.revision <= Math.max(snapshot.revision, catalogue.invalidRevision)) {
		return false;
	}

	const known = catalogue.newerRevision;
	if (known === undefined || known.revision <= shown.revision) {
		catalogue.newerRevision = {
			...shown, firstSeenAt: known?.firstSeenAt ?? at, lastSeenAt: at, listedAt: known?.listedAt ?? at,
		};
	}

	return true;
}
