import {memberLeaseTtlMs} from '../constants.js';
import {type Membership} from './membership.js';

/**
 * Creates the state of a node that knows no other member.
 *
 * @returns the state
 * @example
 * const membership = createMembership();
 */
export function createMembership(): Membership {
	return {
		peers: [],
		members: new Map(),
		sequence: 0,
		sentAt: Number.NEGATIVE_INFINITY,
		sentRevision: 0,
		sent: new Map(),
		received: new Map(),
		reports: new Map(),
		relayed: 0,
		records: new Map(),
		absentSince: new Map(),
		registration: {
			prefix: undefined,
			address: '',
			incarnation: 0,
			leaseId: undefined,
			leaseSentAt: Number.NEGATIVE_INFINITY,
			leaseTtlMs: memberLeaseTtlMs,
			pendingAt: undefined,
			askedAt: Number.NEGATIVE_INFINITY,
			registered: false,
			failures: 0,
			retryAt: 0,
			left: false,
		},
		startedAt: 0,
		announcedAt: new Map(),
		listed: false,
		listing: false,
		listedAt: Number.NEGATIVE_INFINITY,
		watching: false,
		watchId: 0,
		viewRevision: 0,
		requestedAt: Number.NEGATIVE_INFINITY,
	};
}
