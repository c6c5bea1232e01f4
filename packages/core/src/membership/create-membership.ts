import {memberLeaseTtlMs} from '../constants.js';
import {type Membership} from './membership.js';

/**
 * Creates the membership state of a node that knows no other member.
 *
 * @returns the state
 * @example
 * const membership = createMembership();
 */
export function createMembership(): Membership {
	return {
		neighbours: [],
		summaries: new Map(),
		sequence: 0,
		summarySentAt: Number.NEGATIVE_INFINITY,
		announcedRevision: 0,
		sentAtBySequence: new Map(),
		lastReceived: new Map(),
		reports: new Map(),
		nextRelayedReport: 0,
		records: new Map(),
		absentSince: new Map(),
		registration: {
			prefix: undefined,
			address: '',
			incarnation: 0,
			leaseId: undefined,
			leaseValidFrom: Number.NEGATIVE_INFINITY,
			leaseTtlMs: memberLeaseTtlMs,
			pendingCallSentAt: undefined,
			lastLeaseCallAt: Number.NEGATIVE_INFINITY,
			registered: false,
			failures: 0,
			retryAt: 0,
			deregistered: false,
		},
		startedAt: 0,
		announcedAt: new Map(),
		recordsCurrent: false,
		listing: false,
		listedAt: Number.NEGATIVE_INFINITY,
		watching: false,
		watchId: 0,
		recordsRevision: 0,
		catalogueRequestedAt: Number.NEGATIVE_INFINITY,
	};
}
