import {clockDriftMarginMs, freshnessLimitMs} from '../constants.js';
import {isStoreOutageConfirmed} from '../freshness/is-store-outage-confirmed.js';
import {type Effect} from '../node/effect.js';
import {type MemberLease, type PresentMember} from '../node/event.js';
import {type Node} from '../node/node.js';
import {updateLiveness} from './update-liveness.js';

function describeLease(node: Node): MemberLease | undefined {
	const {
		registered, leaseId, leaseValidFrom, leaseTtlMs,
	} = node.membership.registration;
	return !registered || leaseId === undefined ? undefined : {registration: leaseId, validUntil: leaseValidFrom + leaseTtlMs - clockDriftMarginMs};
}

function listPresent(node: Node): PresentMember[] {
	return [...node.membership.records.values()].map(({id, lease}) => ({id, registration: lease}));
}

/**
 * Updates the liveness state from the node's own membership state: its lease, the present members,
 * and whether a majority confirms that the store is unavailable to all.
 *
 * @param node - the node, updated in place
 * @param event - any event; only its time matters
 * @returns no effects
 * @example
 * updateLivenessFromMembership(node, {at: 100});
 */
export function updateLivenessFromMembership(node: Node, event: {readonly at: number}): Effect[] {
	const {registration, recordsCurrent} = node.membership;
	if (registration.prefix === undefined) {
		return [];
	}

	const {at} = event;
	const lease = describeLease(node);
	return updateLiveness(node, {
		type: 'members-observed',
		at,
		...(lease !== undefined && {lease}),
		...(isStoreOutageConfirmed(node, at) && {storeOutageUntil: node.freshness.outageConfirmedAt + freshnessLimitMs}),
		...(recordsCurrent && {present: listPresent(node)}),
	});
}
