import {portionReturnTimeoutMs} from '../constants.js';
import {type Node} from '../node/node.js';

/**
 * Tells whether a node that shuts down has returned its portions, or has tried for long enough.
 *
 * @param node - the node
 * @param at - now, in milliseconds
 * @returns whether the shutdown may finish; portions left behind are reclaimed by others
 * @example
 * if (hasReturnedPortions(node, at)) finishShutdown();
 */
export function hasReturnedPortions(node: Node, at: number): boolean {
	const {call, teams, returningSince} = node.limits;
	if (returningSince !== undefined && at - returningSince >= portionReturnTimeoutMs) {
		return true;
	}

	if (call !== undefined) {
		return false;
	}

	for (const {view, lost, uncertain} of teams.values()) {
		if (lost !== undefined || uncertain !== undefined || view?.record.portions[node.id] !== undefined) {
			return false;
		}
	}

	return true;
}
