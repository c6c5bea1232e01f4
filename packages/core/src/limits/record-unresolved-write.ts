import {type Node} from '../node/node.js';
import {type CallItem} from './limits.js';

/**
 * Records that the outcome of a write is unknown, so that the record is read before the next write.
 *
 * @param node - the node, updated in place
 * @param item - the item of the store call; a read is ignored
 * @example
 * recordUnresolvedWrite(node, item);
 */
export function recordUnresolvedWrite(node: Node, item: CallItem): void {
	const state = node.limits.teams.get(item.team);
	if (state !== undefined && item.proposal !== undefined) {
		state.unresolved = {writeNumber: item.writeNumber, removed: item.proposal.portions[node.id] === undefined};
	}
}
