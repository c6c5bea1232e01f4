import {type Node} from '../node/node.js';

/**
 * Finds the lowest revision over the recorded members; changes up to it are in force everywhere.
 *
 * @param node - the node
 * @returns the revision, 0 while a member has not been heard
 * @example
 * const inForceEverywhere = findMinimumRevision(node);
 */
export function findMinimumRevision(node: Node): number {
	let minimum = node.snapshot.revision;
	for (const id of node.membership.records.keys()) {
		if (id !== node.id) {
			minimum = Math.min(minimum, node.membership.reports.get(id)?.revision ?? 0);
		}
	}

	return minimum;
}
