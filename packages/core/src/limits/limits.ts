/**
 * State of the upper limits in one node.
 */
import {type LimitRecord} from './record.js';

/** A record as last read or written; `modRevision` is 0 for an absent record. */
export type View = {
	readonly record: LimitRecord;
	readonly modRevision: number;
	readonly at: number;
	/** Part of the limit that nobody holds; below 0 after the limit was lowered, when nothing starts. */
	readonly free: number;
	/** Another holder claims more than it has. */
	readonly pressed: boolean;
	/** This node's fair part while the holders together want more than the limit, otherwise infinity. */
	readonly target: number;
};

/** Writes over the record at `compared` that may still take effect; `count` is the lowest portion among them. */
export type Uncertain = {
	readonly compared: number;
	readonly count: number;
};

/** A write whose answer was lost: its number, and whether it removed the portion. */
export type LostWrite = {
	readonly write: number;
	readonly removed: boolean;
};

/** What a node knows of its portion of one team's limit. */
export type HeldPortion = {
	view?: View;
	uncertain?: Uncertain;
	/** The outcome of this write is unknown: the record is read before it is written again. */
	lost?: LostWrite;
	/** Average of the demand over some time, and when it was computed. */
	demand: number;
	demandAt: number;
	/** Last time at which the whole portion was needed. */
	neededAt: number;
	/** Last time at which the portion was compared with the need. */
	plannedAt: number;
	/** Last time at which the record was part of a store call. */
	calledAt: number;
};

/** One team in a store call; without a proposal the record is only read. */
export type CallItem = {
	readonly team: string;
	readonly compared: number;
	readonly proposal?: LimitRecord;
	/** Number of the write. */
	readonly write: number;
	/** State to return to when the call had no effect. */
	readonly previous: Uncertain | undefined;
};

export type Call = {
	readonly id: string;
	readonly sentAt: number;
	readonly items: readonly CallItem[];
	/** Members that the transaction requires to be absent. */
	readonly reclaimed: readonly string[];
};

/** What the membership code tells the limits, by the event `members-observed`. */
export type Liveness = {
	/** Registration of this node's member record; empty before the first. */
	registration: string;
	/** End of the time in which this node's member lease is surely valid, on its own clock. */
	leaseValidUntil: number;
	/** End of the time for which a majority of the members has confirmed that the store is unavailable to all, since the lease was valid. */
	storeAwayUntil: number;
	/** Registrations of the present members. */
	readonly present: Map<string, string>;
	/** When a member under a registration was first seen absent. */
	readonly absentSince: Map<string, number>;
};

export type Limits = {
	/** The node shares the limits with no other: it has the whole limit of each team and keeps no record of it. */
	readonly soleHolder: boolean;
	/** Prefix of the system's keys in the store. */
	readonly prefix: string;
	/** Running tasks of this node by team. */
	readonly running: Map<string, number>;
	/** Team whose slot was released by the event being handled. */
	released: string | undefined;
	readonly teams: Map<string, HeldPortion>;
	readonly liveness: Liveness;
	/** Time of the newest event. */
	now: number;
	/** The store call that has not been answered; there is at most one. */
	call: Call | undefined;
	calls: number;
	writes: number;
	/** Calls that may be made now, and when this was last computed. */
	tokens: number;
	refilledAt: number;
	/** The last store call failed. */
	failing: boolean;
	/** No call is made before this time. */
	retryAt: number;
	/** Most records that one transaction writes; halved by conflicts. */
	batch: number;
	/** When the return of all portions began. */
	returningSince: number | undefined;
};
