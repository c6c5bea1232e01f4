/**
 * State of the versioned catalogue: what was accepted, what the store shows, and edits in progress.
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
export type Accepted = {
	readonly revision: number;
	readonly entries: ReadonlyMap<string, VersionedEntry>;
};

/** An operator's change of one entry; `value` is `null` to delete it. */
export type Edit = {
	readonly requestId: string;
	readonly operator: string;
	readonly section: Section;
	readonly name: string;
	readonly value: unknown;
	/** Catalogue revision that the operator saw. */
	readonly baseRevision: number;
};

/** One field in which the stored entry differs from the edit. */
export type Difference = {readonly path: string; readonly stored: unknown; readonly edited: unknown};

export type EditResult =
	/** Stored; `listOutstandingMembers` tells which members do not have it yet. */
	| {readonly type: 'accepted'; readonly revision: number}
	| {readonly type: 'conflict'; readonly revision: number; readonly operator: string; readonly difference: readonly Difference[]}
	| {readonly type: 'invalid'; readonly problems: readonly Problem[]}
	/** Nothing was written. */
	| {readonly type: 'unavailable'}
	/** The edit may have been stored; the same request identifier may be submitted again. */
	| {readonly type: 'outcome-unknown'};

export type PendingEdit = {
	readonly edit: Edit;
	readonly startedAt: number;
	retryAt: number;
	inFlight: boolean;
	/** Transaction without an answer; it is sent again unchanged until the store answers. */
	unresolved: Transaction | undefined;
	/** Revision that the transaction writes. */
	revision: number;
	mayBeStored: boolean;
};

/** A revision that the node lacks: since when it is known, when it was last shown, and when the store was listed for it. */
export type Higher = {
	readonly from: string;
	readonly revision: number;
	readonly seenAt: number;
	readonly shownAt: number;
	readonly listedAt: number;
};

export type CatalogueState = {
	/** Prefix of the system's keys; absent until the process has started. */
	prefix: string | undefined;
	accepted: Accepted;
	/** Entries below `<prefix>catalogue/` as the store last showed them, by key. */
	readonly view: Map<string, Entry>;
	viewRevision: number;
	listed: boolean;
	listing: boolean;
	listWanted: boolean;
	listSentAt: number;
	watching: boolean;
	watchId: number;
	headAskedAt: number;
	/** Time of sending of the head read in progress. */
	headPendingAt: number | undefined;
	failures: number;
	retryAt: number;
	/** When this member may correct the store; absent while nothing needs a correction. */
	correctAt: number | undefined;
	/** Correction in progress. */
	correcting: {readonly id: string; readonly adopted: number; readonly rejected: number; readonly restored: number} | undefined;
	corrections: number;
	/** Highest head revision whose catalogue was invalid. */
	invalidRevision: number;
	/** Who showed a higher revision than the accepted one; `store` for the head itself. */
	higher: Higher | undefined;
	readonly edits: Map<string, PendingEdit>;
};
