/**
 * State of the upper limits in one node. A node that has a portion of a limit is a holder of the limit; holders are known
 * by their member records.
 */
import {type LimitRecord} from './record.js';

/** A record as last read or written; `modRevision` is 0 while the store has no record. */
export type CachedRecord = {
	readonly record: LimitRecord;
	readonly modRevision: number;
	readonly updatedAt: number;
	/** Slots of the limit that no holder has; negative after the limit was lowered, when no task may start. */
	readonly freeSlots: number;
	/** Whether another holder wants more than it has. */
	readonly contended: boolean;
	/** This node's max-min fair share while the holders together want more than the limit, otherwise infinity. */
	readonly fairShare: number;
};

/** Writes compared with the record at `comparedRevision` that may still take effect; `lowestCount` is the smallest portion among them. */
export type PendingWrites = {
	readonly comparedRevision: number;
	readonly lowestCount: number;
};

/** A write with an unknown outcome, and whether it removed the portion. */
export type UnresolvedWrite = {
	readonly writeNumber: number;
	readonly removed: boolean;
};

/** State of this node's portion of one team's limit. */
export type PortionState = {
	cached?: CachedRecord;
	pendingWrites?: PendingWrites;
	/** The outcome of this write is unknown: the record is read before it is written again. */
	unresolved?: UnresolvedWrite;
	/** Exponential moving average of the demand, and when it was last updated. */
	averageDemand: number;
	averagedAt: number;
	/** Last time at which the demand was at least the whole portion. */
	lastFullDemandAt: number;
	/** Last time at which the portion was compared with the demand. */
	plannedAt: number;
	/** Last time at which the record was part of a store call. */
	calledAt: number;
};

/** One team in a store call; without a proposal the record is only read. */
export type CallItem = {
	readonly team: string;
	/** Revision that a write is compared with; unused by a read. */
	readonly comparedRevision: number;
	readonly proposal?: LimitRecord;
	/** Number of the write; 0 for a read. */
	readonly writeNumber: number;
	/** Pending writes to restore when the call had no effect. */
	readonly previousPendingWrites: PendingWrites | undefined;
};

export type StoreCall = {
	readonly id: string;
	readonly sentAt: number;
	readonly items: readonly CallItem[];
	/** Holders whose portions are reclaimed if the call succeeds; the transaction requires that they have no member record. */
	readonly holdersToReclaim: readonly string[];
};

/** Member leases as known from the membership; updated by the event `members-observed`. */
export type Liveness = {
	/** Registration of this node's member record; empty before the first. */
	registration: string;
	/** Time until which this node's member lease is certainly valid, on its own clock. */
	leaseValidUntil: number;
	/** Time until which a majority of the members has confirmed that the store is unavailable to all. Set only while this node may use its portions: with a valid lease, or during an outage confirmed before. */
	storeOutageUntil: number;
	/** Registrations of the present members. */
	readonly present: Map<string, string>;
	/** When a member was first seen absent, by the key of its registration. */
	readonly absentSince: Map<string, number>;
};

export type Limits = {
	/** The node shares the limits with no other: it has the whole limit of each team and keeps no record of it. */
	readonly soleHolder: boolean;
	/** Prefix of the system's keys in the store. */
	readonly prefix: string;
	/** Running tasks of this node by team. */
	readonly running: Map<string, number>;
	/** Team whose slot was released by the event that is being handled. */
	releasedTeam: string | undefined;
	readonly teams: Map<string, PortionState>;
	readonly liveness: Liveness;
	/** Latest time of any event. */
	now: number;
	/** The store call that awaits its answer; there is at most one. */
	inFlightCall: StoreCall | undefined;
	lastCallNumber: number;
	lastWriteNumber: number;
	/** Token bucket of store calls: calls that may be made now, and when it was last refilled. */
	callTokens: number;
	refilledAt: number;
	/** Whether the last store call failed. */
	lastCallFailed: boolean;
	/** No call is made before this time. */
	retryAt: number;
	/** Largest number of records that one transaction writes; halved by a conflict, doubled by a success. */
	writeBatchSize: number;
	/** When the return of all portions began. */
	returnStartedAt: number | undefined;
};
