import {type Effect} from '../node/effect.js';
import {type EventOf} from '../node/event.js';
import {type Node} from '../node/node.js';
import {recordMemberStoreOutcome} from './record-member-store-outcome.js';
import {tickMembership} from './tick-membership.js';

/**
 * Handles the answer to a grant or renewal of the member lease. The lease is measured from the time the call was sent.
 *
 * @param node - the node, updated in place
 * @param event - the answer
 * @returns the next store calls, and the log report of a lost lease
 * @example
 * receiveLease(node, {type: 'store-leased', at: 5, purpose: 'member', id: 'entry-1', operation: 'renew', outcome});
 */
export function receiveLease(node: Node, event: EventOf<'store-leased'>): Effect[] {
	const {registration} = node.membership;
	const {operation, outcome, at} = event;
	const sentAt = registration.pendingCallSentAt;
	if (operation === 'revoke' || sentAt === undefined) {
		return [];
	}

	registration.pendingCallSentAt = undefined;
	if (!outcome.ok && outcome.reason === 'lease-lost') {
		registration.leaseId = undefined;
		registration.registered = false;
		return [{type: 'count', counter: 'member.lease-lost'}, {type: 'report', report: {type: 'member-lease-lost'}}, ...tickMembership(node, {at})];
	}

	const effects = recordMemberStoreOutcome(node, outcome.ok, at);
	if (!outcome.ok) {
		return effects;
	}

	registration.leaseId = outcome.value.leaseId;
	registration.leaseTtlMs = outcome.value.ttlMs;
	registration.leaseValidFrom = sentAt;
	return tickMembership(node, {at});
}
