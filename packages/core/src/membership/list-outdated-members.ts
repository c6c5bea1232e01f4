import {clockDriftMarginMs, freshnessLimitMs} from '../constants.js';
import {type Node} from '../node/node.js';

/**
 * Lists the members that may still start work under an older configuration: those that have not
 * reported the revision. The list is empty once the freshness limit has passed for every member.
 *
 * @param node - the node
 * @param revision - the accepted revision
 * @param options - time at which the revision was accepted, and now, in milliseconds
 * @returns identifiers of the members, sorted
 * @example
 * const outdated = listOutdatedMembers(node, 8, {acceptedAt, at});
 */
export function listOutdatedMembers(node: Node, revision: number, options: {acceptedAt: number; at: number}): string[] {
	const {acceptedAt, at} = options;
	const {records, reports} = node.membership;
	if (at - acceptedAt > freshnessLimitMs + clockDriftMarginMs) {
		return [];
	}

	const others = [...records.keys()].filter(id => id !== node.id);
	return others.filter(id => (reports.get(id)?.revision ?? 0) < revision).toSorted();
}
