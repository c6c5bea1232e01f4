/**
 * Membership state of one node: its own registration, and its view of the other members.
 */
import {type MemberAddress} from '../node/effect.js';
import {type Summary} from './message.js';

/** The newest summary of a member and its time of arrival. */
export type ReceivedSummary = {
	readonly summary: Summary;
	readonly receivedAt: number;
};

/**
 * What is known of a member's configuration, from its own summary or a relayed digest. Times are on the
 * node's own clock and are lower bounds: they are never later than the actual event at the member, whatever the delay of
 * messages or a pause of either process.
 */
export type MemberReport = {
	/** Sequence number of the member's summary. */
	readonly sequence: number;
	readonly revision: number;
	readonly reportedAt: number;
	readonly storeContactAt: number;
};

/** A member's record in the store. */
export type MemberRecord = MemberAddress & {
	readonly incarnation: number;
	/** Identifier of the lease under which the member is registered. */
	readonly lease: string;
};

/** State of the node's own record and lease in the store. */
export type Registration = {
	/** Prefix of all store keys; absent until the process has started. */
	prefix: string | undefined;
	address: string;
	incarnation: number;
	leaseId: string | undefined;
	/** When the last successful grant or renewal was sent; the time to live of the lease counts from there. */
	leaseValidFrom: number;
	leaseTtlMs: number;
	/** When the store call in progress was sent; absent while there is none. */
	pendingCallSentAt: number | undefined;
	/** When the last grant or renewal was sent, successful or not. */
	lastLeaseCallAt: number;
	/** The record is in the store, as far as is known. */
	registered: boolean;
	/** Store calls that failed in a row. */
	failures: number;
	retryAt: number;
	/** The node has withdrawn its record at shutdown. */
	deregistered: boolean;
};

export type Membership = {
	/** Identifiers of the neighbours: the members that summaries are sent to. */
	neighbours: readonly string[];
	readonly summaries: Map<string, ReceivedSummary>;
	/** Sequence number of the last summary sent. */
	sequence: number;
	summarySentAt: number;
	/** Revision in the last summary or announcement; a higher one is announced at once. */
	announcedRevision: number;
	/** Times at which the node sent its recent summaries, by sequence number. */
	readonly sentAtBySequence: Map<number, number>;
	/** Sequence number and time of arrival of each member's last summary. */
	readonly lastReceived: Map<string, {readonly sequence: number; readonly at: number}>;
	readonly reports: Map<string, MemberReport>;
	/** Index of the first report that the next summary relays. */
	nextRelayedReport: number;
	/** Last known member records in the store, with that of the node itself. */
	readonly records: Map<string, MemberRecord>;
	/** When the record of a formerly present member was first seen to be absent. */
	readonly absentSince: Map<string, number>;
	readonly registration: Registration;
	startedAt: number;
	/** When a member with a lower revision was last sent an announcement. */
	readonly announcedAt: Map<string, number>;
	/** The records were listed, and the watch has not ended since. */
	recordsCurrent: boolean;
	/** A listing is in progress. */
	listing: boolean;
	/** When the records were last listed. */
	listedAt: number;
	watching: boolean;
	/** Identifier of the current watch; updates of earlier ones are ignored. */
	watchId: number;
	/** Store revision of `records`. */
	recordsRevision: number;
	/** When a catalogue was last requested from another member. */
	catalogueRequestedAt: number;
};
