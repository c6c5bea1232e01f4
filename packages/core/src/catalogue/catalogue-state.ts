/**
 * State of the versioned catalogue: the accepted revision, the last known content of the store, and edits in progress.
 */
import {type Entry, type Transaction} from '../store/transaction.js';
import {type Problem} from './list-problems.js';
import {type Section} from './schema.js';

/** One entry at its revision. `value` is `null` for a deleted entry, whose document stays in the store. */
export type VersionedEntry = {
	/** `<section>/<name>`. */
	readonly path: string;
	readonly revision: number;
	readonly requestId: string;
	readonly operator: string;
	/** Request identifiers of the preceding edits of the entry, newest first. */
	readonly earlier: readonly string[];
	readonly value: unknown;
};

/** The accepted catalogue. `revision` never decreases. */
export type AcceptedCatalogue = {
	readonly revision: number;
	readonly entries: ReadonlyMap<string, VersionedEntry>;
};

/** A change of one entry by an operator; `value` is `null` to delete the entry. */
export type Edit = {
	readonly requestId: string;
	readonly operator: string;
	readonly section: Section;
	readonly name: string;
	readonly value: unknown;
	/** Catalogue revision on which the operator based the edit. */
	readonly baseRevision: number;
};

/** One field in which the stored entry differs from the edit. */
export type Difference = {readonly path: string; readonly stored: unknown; readonly edited: unknown};

export type EditResult =
	/** Stored; `listOutdatedMembers` lists the members that may not have it yet. */
	| {readonly type: 'accepted'; readonly revision: number}
	| {readonly type: 'conflict'; readonly revision: number; readonly operator: string; readonly difference: readonly Difference[]}
	| {readonly type: 'invalid'; readonly problems: readonly Problem[]}
	/** Nothing was written. */
	| {readonly type: 'unavailable'}
	/** The edit may have been stored; the same request identifier may be submitted again. */
	| {readonly type: 'outcome-unknown'};

/** An edit that has not been answered. */
export type PendingEdit = {
	readonly edit: Edit;
	readonly startedAt: number;
	retryAt: number;
	inFlight: boolean;
	/** Transaction of the edit, sent again unchanged until the store answers; absent until the edit has been validated, and after a conflict. */
	transaction: Transaction | undefined;
	/** Revision that the transaction writes. */
	revision: number;
	/** An answer to the transaction was lost, so that the edit may be stored. */
	mayBeStored: boolean;
};

/** A revision that the node has not accepted. */
export type NewerRevision = {
	/** Member that showed the revision, or `store` for the head. */
	readonly from: string;
	readonly revision: number;
	readonly firstSeenAt: number;
	readonly lastSeenAt: number;
	/** When the store was last listed to fetch the revision; equal to `firstSeenAt` before the first listing. */
	readonly listedAt: number;
};

export type CatalogueState = {
	/** Prefix of all store keys; absent until the process has started. */
	prefix: string | undefined;
	/** The accepted catalogue; `node.snapshot` is the catalogue in force, indexed to admit requests. */
	accepted: AcceptedCatalogue;
	/** Last known store entries below `<prefix>catalogue/`, by key. */
	readonly view: Map<string, Entry>;
	/** Store revision of the view. */
	viewRevision: number;
	/** The store has been listed at least once. */
	listed: boolean;
	/** A listing is in progress. */
	listing: boolean;
	listingNeeded: boolean;
	listingSentAt: number;
	watching: boolean;
	/** Identifier of the current watch; updates of earlier ones are ignored. */
	watchId: number;
	/** When the last read of the head was sent. */
	headRequestedAt: number;
	/** When the read of the head in progress was sent. */
	pendingHeadSentAt: number | undefined;
	/** Store calls that failed in a row. */
	failures: number;
	retryAt: number;
	/** When this member may correct the store; absent while no correction is needed. */
	correctionDueAt: number | undefined;
	/** Correction in progress. */
	pendingCorrection: {readonly id: string; readonly adopted: number; readonly rejected: number; readonly restored: number} | undefined;
	/** Corrections sent by this process; numbers their identifiers. */
	correctionCount: number;
	/** Highest head revision whose catalogue was invalid. */
	invalidRevision: number;
	/** The newest revision known to exist above the one in force. */
	newerRevision: NewerRevision | undefined;
	readonly edits: Map<string, PendingEdit>;
};
