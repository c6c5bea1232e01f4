import {portionReturnTimeoutMs} from '../constants.js';
import {type Node} from '../node/node.js';

/**
 * Tells whether a shutdown need not wait for the return of portions any longer: the node has returned them, or the
 * time-out for that has passed.
 *
 * @param node - the node
 * @param at - now, in milliseconds
 * @returns whether the shutdown may finish; portions that are not returned are reclaimed by other nodes
 * @example
 * if (isPortionReturnOver(node, at)) finishShutdown();
 */
export function isPortionReturnOver(node: Node, at: number): boolean {
	const {inFlightCall, teams, returnStartedAt} = node.limits;
	if (returnStartedAt !== undefined && at - returnStartedAt >= portionReturnTimeoutMs) {
		return true;
	}

	if (inFlightCall !== undefined) {
		return false;
	}

	for (const {cached, unresolved, pendingWrites} of teams.values()) {
		if (unresolved !== undefined || pendingWrites !== undefined || cached?.record.portions[node.id] !== undefined) {
			return false;
		}
	}

	return true;
}
