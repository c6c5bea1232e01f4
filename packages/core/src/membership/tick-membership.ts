import {memberLeaseTtlMs, memberListingIntervalMs} from '../constants.js';
import {type Effect} from '../node/effect.js';
import {type Node} from '../node/node.js';
import {updateFreshness} from '../freshness/update-freshness.js';
import {formatMember} from './format-member.js';

/** Renewals of the member lease within one time to live. */
const renewalsPerLease = 3;

function maintainLease(node: Node, at: number): Effect[] {
	const {registration} = node.membership;
	const {leaseId, lastLeaseCallAt, pendingCallSentAt} = registration;
	if (pendingCallSentAt !== undefined) {
		return [];
	}

	if (leaseId === undefined) {
		registration.pendingCallSentAt = at;
		registration.lastLeaseCallAt = at;
		return [{
			type: 'store-lease', purpose: 'member', id: node.id, operation: 'grant', leaseId: '', ttlMs: memberLeaseTtlMs,
		}];
	}

	if (!registration.registered) {
		registration.pendingCallSentAt = at;
		return [{
			type: 'store-transact', purpose: 'member', id: 'register', transaction: {
				compare: [],
				success: [{
					type: 'put', key: `${registration.prefix ?? ''}members/${node.id}`, value: formatMember(node), leaseId,
				}],
				failure: [],
			},
		}];
	}

	if (at - lastLeaseCallAt < memberLeaseTtlMs / renewalsPerLease && registration.failures === 0) {
		return [];
	}

	registration.pendingCallSentAt = at;
	registration.lastLeaseCallAt = at;
	return [{
		type: 'store-lease', purpose: 'member', id: node.id, operation: 'renew', leaseId, ttlMs: memberLeaseTtlMs,
	}];
}

function syncMemberRecords(node: Node, at: number): Effect[] {
	const {membership} = node;
	const prefix = `${membership.registration.prefix ?? ''}members/`;
	const isListingDue = !membership.recordsCurrent || at - membership.listedAt >= memberListingIntervalMs;
	if (isListingDue && !membership.listing) {
		membership.listing = true;
		return [{
			type: 'store-list', purpose: 'member', id: 'members', prefix,
		}];
	}

	if (membership.recordsCurrent && !membership.watching) {
		membership.watching = true;
		membership.watchId += 1;
		return [{
			type: 'store-watch', purpose: 'member', id: String(membership.watchId), prefix, fromRevision: membership.recordsRevision + 1,
		}];
	}

	return [];
}

function deregister(node: Node): Effect[] {
	const {membership, snapshot} = node;
	const {registration} = membership;
	registration.deregistered = true;
	const effects: Effect[] = membership.neighbours.map(to => ({type: 'peer-send', to, message: {type: 'leaving', member: node.id, revision: snapshot.revision}}));
	if (registration.leaseId !== undefined) {
		effects.push({
			type: 'store-lease', purpose: 'member', id: node.id, operation: 'revoke', leaseId: registration.leaseId, ttlMs: 0,
		});
	}

	return effects;
}

/**
 * Keeps the node registered in the store under its lease, lists and watches the member records, and
 * deregisters the node once a shutdown has ended every task.
 *
 * @param node - the node, updated in place
 * @param event - an event with the time
 * @returns the store calls
 * @example
 * tickMembership(node, {at: 300});
 */
export function tickMembership(node: Node, event: {readonly at: number}): Effect[] {
	const {registration} = node.membership;
	updateFreshness(node, event.at);
	if (registration.prefix === undefined || registration.deregistered) {
		return [];
	}

	if (node.tasks.shuttingDown && node.tasks.byId.size === 0) {
		return deregister(node);
	}

	if (registration.failures > 0 && event.at < registration.retryAt) {
		return [];
	}

	return [...maintainLease(node, event.at), ...syncMemberRecords(node, event.at)];
}
