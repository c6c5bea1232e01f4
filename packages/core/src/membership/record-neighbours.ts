import {type Effect} from '../node/effect.js';
import {type EventOf} from '../node/event.js';
import {type Node} from '../node/node.js';

/**
 * Records a list of members as the neighbours, for a node that has no member records from the store.
 *
 * @param node - the node, updated in place
 * @param event - the list, which may include the node itself
 * @returns no effects
 * @example
 * recordNeighbours(node, {type: 'peers-listed', at: 0, members: ['entry-1', 'entry-2']});
 */
export function recordNeighbours(node: Node, event: EventOf<'peers-listed'>): Effect[] {
	// Once member records are known, the neighbours are chosen from them.
	if (node.membership.records.size > 0) {
		return [];
	}

	node.membership.neighbours = event.members.filter(member => member !== node.id);
	return [];
}
