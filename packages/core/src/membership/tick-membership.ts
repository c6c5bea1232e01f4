import {memberLeaseTtlMs, memberListingIntervalMs} from '../constants.js';
import {type Effect} from '../node/effect.js';
import {type Node} from '../node/node.js';
import {updateFreshness} from '../freshness/update-freshness.js';
import {formatMember} from './format-member.js';

/** Renewals of the member lease within its time to live. */
const renewalsPerLease = 3;

function renewLease(node: Node, at: number): Effect[] {
	const {registration} = node.membership;
	const {leaseId, askedAt, pendingAt} = registration;
	if (pendingAt !== undefined) {
		return [];
	}

	if (leaseId === undefined) {
		registration.pendingAt = at;
		registration.askedAt = at;
		return [{
			type: 'store-lease', purpose: 'member', id: node.id, operation: 'grant', leaseId: '', ttlMs: memberLeaseTtlMs,
		}];
	}

	if (!registration.registered) {
		registration.pendingAt = at;
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

	if (at - askedAt < memberLeaseTtlMs / renewalsPerLease && registration.failures === 0) {
		return [];
	}

	registration.pendingAt = at;
	registration.askedAt = at;
	return [{
		type: 'store-lease', purpose: 'member', id: node.id, operation: 'renew', leaseId, ttlMs: memberLeaseTtlMs,
	}];
}

function followMembers(node: Node, at: number): Effect[] {
	const {membership} = node;
	const prefix = `${membership.registration.prefix ?? ''}members/`;
	const due = !membership.listed || at - membership.listedAt >= memberListingIntervalMs;
	if (due && !membership.listing) {
		membership.listing = true;
		return [{
			type: 'store-list', purpose: 'member', id: 'members', prefix,
		}];
	}

	if (membership.listed && !membership.watching) {
		membership.watching = true;
		membership.watchId += 1;
		return [{
			type: 'store-watch', purpose: 'member', id: String(membership.watchId), prefix, fromRevision: membership.viewRevision + 1,
		}];
	}

	return [];
}

function leave(node: Node): Effect[] {
	const {membership, snapshot} = node;
	const {registration} = membership;
	registration.left = true;
	const effects: Effect[] = membership.peers.map(to => ({type: 'peer-send', to, message: {type: 'leaving', member: node.id, revision: snapshot.revision}}));
	if (registration.leaseId !== undefined) {
		effects.push({
			type: 'store-lease', purpose: 'member', id: node.id, operation: 'revoke', leaseId: registration.leaseId, ttlMs: 0,
		});
	}

	return effects;
}

/**
 * Keeps the node's record in the store under its lease, follows the records of the others, and
 * withdraws the record once a shutdown has ended every task.
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
	if (registration.prefix === undefined || registration.left) {
		return [];
	}

	if (node.tasks.shuttingDown && node.tasks.byId.size === 0) {
		return leave(node);
	}

	if (registration.failures > 0 && event.at < registration.retryAt) {
		return [];
	}

	return [...renewLease(node, event.at), ...followMembers(node, event.at)];
}
