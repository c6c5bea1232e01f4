import {absenceRetentionMs} from '../constants.js';
import {type Effect} from '../node/effect.js';
import {type EventOf} from '../node/event.js';
import {type Node} from '../node/node.js';
import {recordMemberStoreOutcome} from './record-member-store-outcome.js';
import {applyMemberChanges} from './apply-member-changes.js';

/**
 * Handles a listing of the member records. Recorded members that it does not contain become absent.
 *
 * @param node - the node, updated in place
 * @param event - the listing
 * @returns `peers-changed` when the neighbours or their addresses changed, or the counter of a failure
 * @example
 * receiveMemberListing(node, {type: 'store-listed', at: 5, purpose: 'member', id: 'members', outcome});
 */
export function receiveMemberListing(node: Node, event: EventOf<'store-listed'>): Effect[] {
	const {membership} = node;
	const {outcome, at} = event;
	membership.listing = false;
	const effects = recordMemberStoreOutcome(node, outcome.ok, at);
	if (!outcome.ok) {
		return effects;
	}

	membership.recordsCurrent = true;
	membership.listedAt = at;
	membership.recordsRevision = outcome.value.revision;
	const keys = new Set(outcome.value.entries.map(entry => entry.key));
	const prefix = `${membership.registration.prefix ?? ''}members/`;
	if (!keys.has(`${prefix}${node.id}`)) {
		// A store restored from an older state may hold the lease but not the record.
		membership.registration.registered = false;
	}

	for (const [id, since] of membership.absentSince) {
		if (at - since > absenceRetentionMs) {
			membership.absentSince.delete(id);
		}
	}

	const missing = [...membership.records.keys()].map(id => `${prefix}${id}`).filter(key => !keys.has(key));
	return applyMemberChanges(node, [...outcome.value.entries, ...missing.map(key => ({key, modRevision: 0}))], at);
}
