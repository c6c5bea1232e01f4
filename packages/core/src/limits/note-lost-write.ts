import {type Node} from '../node/node.js';
import {type CallItem} from './limits.js';

/**
 * Records that the outcome of a write is unknown, so that the record is read before the next write.
 *
 * @param node - the node, updated in place
 * @param item - the part of the call; a read is ignored
 * @example
 * noteLostWrite(node, item);
 */
export function noteLostWrite(node: Node, item: CallItem): void {
	const held = node.limits.teams.get(item.team);
	if (held !== undefined && item.proposal !== undefined) {
		held.lost = {write: item.write, removed: item.proposal.portions[node.id] === undefined};
	}
}
