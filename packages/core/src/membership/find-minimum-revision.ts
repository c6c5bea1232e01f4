import {type Node} from '../node/node.js';

/**
 * Finds the lowest revision of all recorded members. Changes up to it are in force everywhere.
 *
 * @param node - the node
 * @returns the revision, 0 while a recorded member has not reported one
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
