import {type Node} from '../node/node.js';

/**
 * Records that a revision above the accepted one exists.
 *
 * @param node - the node, updated in place
 * @param higher - who showed which revision
 * @param at - now, in milliseconds
 * @returns whether the node lacks the revision
 * @example
 * if (recordHigher(node, {from: 'entry-2', revision: 8}, at)) request();
 */
export function recordHigher(node: Node, higher: {from: string; revision: number}, at: number): boolean {
	const {catalogue, snapshot} = node;
	if (higher.revision <= Math.max(snapshot.revision, catalogue.invalidRevision)) {
		return false;
	}

	const known = catalogue.higher;
	if (known === undefined || known.revision <= higher.revision) {
		catalogue.higher = {
			...higher, seenAt: known?.seenAt ?? at, shownAt: at, listedAt: known?.listedAt ?? at,
		};
	}

	return true;
}
