/**
 * Values exchanged with the key-value store: compare-and-swap transactions and their outcomes.
 * Keys and values are strings; revisions are the store's own modification counters.
 */

/** One key with its value. `modRevision` is the revision of its last change, 0 for an absent key. */
export type Entry = {
	readonly key: string;
	readonly value: string;
	readonly modRevision: number;
	readonly leaseId?: string;
};

/**
 * True when the key was last modified at `modRevision`, 0 for an absent key, and has `value` if one is
 * given. A store restored from an older state assigns the same revisions again, so a revision alone may
 * belong to a different value than the one that was read.
 */
export type Comparison = {
	readonly key: string;
	readonly modRevision: number;
	readonly value?: string;
};

export type Operation =
	| {readonly type: 'put'; readonly key: string; readonly value: string; readonly leaseId?: string}
	| {readonly type: 'delete'; readonly key: string}
	| {readonly type: 'get'; readonly key: string};

/** Atomically applies `success` when every comparison is true, otherwise `failure`. */
export type Transaction = {
	readonly compare: readonly Comparison[];
	readonly success: readonly Operation[];
	readonly failure: readonly Operation[];
};

/** Result of a transaction. `entries` has one element for each `get` of the applied branch, `undefined` for an absent key. */
export type TransactionResult = {
	readonly succeeded: boolean;
	readonly revision: number;
	readonly entries: ReadonlyArray<Entry | undefined>;
};

/**
 * A failed call. `unavailable`: it had no effect. `outcome-unknown`: it may have taken effect. `invalid`: the store
 * rejected it, for example the write of a record under a lease that it no longer has. `lease-lost`: the lease has expired.
 */
export type StoreFailure = {
	readonly ok: false;
	readonly reason: 'unavailable' | 'outcome-unknown' | 'compacted' | 'lease-lost' | 'invalid';
	readonly detail?: string;
};

export type StoreOutcome<Value> = {readonly ok: true; readonly value: Value} | StoreFailure;

/** Entries below a prefix at one store revision. */
export type Listing = {
	readonly revision: number;
	readonly entries: readonly Entry[];
};

/** A change reported by a watch; `value` is absent for a deletion. */
export type Change = {
	readonly key: string;
	readonly value?: string;
	readonly modRevision: number;
};
