/**
 * State of the other members as one node sees them.
 */
import {type Peer} from '../node/effect.js';
import {type Summary} from './message.js';

/** The newest summary of a member and when it arrived. */
export type Member = {
	readonly summary: Summary;
	readonly receivedAt: number;
};

/**
 * What is known of a member's configuration. Times are on the node's own clock and never later than
 * the member's own act, whatever the delay of messages or a pause of either side.
 */
export type MemberReport = {
	readonly sequence: number;
	readonly revision: number;
	readonly reportedAt: number;
	readonly storeContactAt: number;
};

/** A member's record in the store. */
export type MemberRecord = Peer & {
	readonly incarnation: number;
	/** Lease under which the member has registered. */
	readonly lease: string;
};

/** The node's own record and lease. */
export type Registration = {
	prefix: string | undefined;
	address: string;
	incarnation: number;
	leaseId: string | undefined;
	/** When the last successful grant or renewal was sent; the lease runs from there. */
	leaseSentAt: number;
	leaseTtlMs: number;
	/** When the call in progress was sent. */
	pendingAt: number | undefined;
	askedAt: number;
	registered: boolean;
	failures: number;
	retryAt: number;
	left: boolean;
};

export type Membership = {
	/** Identifiers of the members that summaries are sent to. */
	peers: readonly string[];
	readonly members: Map<string, Member>;
	sequence: number;
	sentAt: number;
	/** Revision in the last summary sent; a higher one is sent at once. */
	sentRevision: number;
	/** When the node sent its recent summaries, by sequence. */
	readonly sent: Map<number, number>;
	/** The last summary received from each neighbour and when. */
	readonly received: Map<string, {readonly sequence: number; readonly at: number}>;
	readonly reports: Map<string, MemberReport>;
	/** Position in the reports from which the next summary relays. */
	relayed: number;
	/** The last known members, from the store, with the node itself. */
	readonly records: Map<string, MemberRecord>;
	/** Since when a member's record has been seen absent after it was present. */
	readonly absentSince: Map<string, number>;
	readonly registration: Registration;
	startedAt: number;
	/** When a member with a lower revision was last told of the higher one. */
	readonly announcedAt: Map<string, number>;
	listed: boolean;
	listing: boolean;
	/** When the records were last listed. */
	listedAt: number;
	watching: boolean;
	watchId: number;
	viewRevision: number;
	/** When a catalogue was last requested from another member. */
	requestedAt: number;
};
