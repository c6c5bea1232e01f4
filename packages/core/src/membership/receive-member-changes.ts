import {type Effect} from '../node/effect.js';
import {type EventOf} from '../node/event.js';
import {type Node} from '../node/node.js';
import {applyMemberChanges} from './apply-member-changes.js';

/**
 * Handles an update of the watch on the member records. The end of the watch causes a new listing.
 *
 * @param node - the node, updated in place
 * @param event - the update
 * @returns `peers-changed` when the neighbours or their addresses changed
 * @example
 * receiveMemberChanges(node, {type: 'store-watched', at: 5, purpose: 'member', id: '1', update: {type: 'ended'}});
 */
export function receiveMemberChanges(node: Node, event: EventOf<'store-watched'>): Effect[] {
	const {membership} = node;
	const {id, update, at} = event;
	if (id !== String(membership.watchId)) {
		return [];
	}

	if (update.type !== 'changed') {
		membership.watching = false;
		membership.recordsCurrent = false;
		return [];
	}

	if (update.revision <= membership.recordsRevision) {
		return [];
	}

	membership.recordsRevision = update.revision;
	return applyMemberChanges(node, update.changes, at);
}
