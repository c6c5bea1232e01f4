import {type Effect} from '../node/effect.js';
import {type EventOf} from '../node/event.js';
import {type Node} from '../node/node.js';
import {updateSubsets} from './update-subsets.js';

/**
 * Recomputes the subsets of this node when the members have changed. An unchanged list is ignored, as the subsets
 * require a sort of all workers.
 *
 * @param node - the node with its new members, updated in place
 * @param event - the list of members
 * @returns no effects
 * @example
 * updateSubsetsForMembers(node, {type: 'peers-listed', at: 0, members: ['entry-1', 'entry-2']});
 */
export function updateSubsetsForMembers(node: Node, event: Pick<EventOf<'peers-listed'>, 'members'>): Effect[] {
	const members = event.members.toSorted();
	const {placement} = node;
	if (members.length === placement.members.length && members.every((member, index) => member === placement.members[index])) {
		return [];
	}

	placement.members = members;
	return updateSubsets(node);
}
