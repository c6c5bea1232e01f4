import {type Effect} from '../node/effect.js';
import {type EventOf} from '../node/event.js';
import {type Node} from '../node/node.js';
import {recordMembers} from './record-members.js';

/**
 * Handles a report of the watch on the member records. The end of the watch causes a new listing.
 *
 * @param node - the node, updated in place
 * @param event - the report
 * @returns `peers-changed` when the neighbours or their addresses changed
 * @example
 * receiveMemberReport(node, {type: 'store-watched', at: 5, purpose: 'member', id: '1', report: {type: 'ended'}});
 */
export function receiveMemberReport(node: Node, event: EventOf<'store-watched'>): Effect[] {
	const {membership} = node;
	const {id, report, at} = event;
	if (id !== String(membership.watchId)) {
		return [];
	}

	if (report.type !== 'changed') {
		membership.watching = false;
		membership.listed = false;
		return [];
	}

	if (report.revision <= membership.viewRevision) {
		return [];
	}

	membership.viewRevision = report.revision;
	return recordMembers(node, report.changes, at);
}
