/**
 * Interface of the platform's key-value store, which the client of each kind of store implements.
 */
import {
	type Change, type Listing, type StoreOutcome, type Transaction, type TransactionResult,
} from './transaction.js';

/** Event of a watch. The watch ends with `compacted` or `ended`. */
export type WatchEvent =
	/** `completeUntil`: time on the local monotonic clock, in milliseconds, up to which the changes are complete; absent where the store does not report it. */
	| {readonly type: 'changed'; readonly changes: readonly Change[]; readonly revision: number; readonly completeUntil?: number}
	| {readonly type: 'compacted'; readonly revision: number}
	/** The revision of the store is lower than the watch expects, because the store was restored from an older state. */
	| {readonly type: 'restored'}
	| {readonly type: 'ended'};

/** Client of the store. Each method resolves to an outcome and never rejects. Times are in milliseconds. */
export type Store = {
	list(prefix: string): Promise<StoreOutcome<Listing>>;
	transact(transaction: Transaction): Promise<StoreOutcome<TransactionResult>>;
	grantLease(ttlMs: number): Promise<StoreOutcome<string>>;
	/** Resolves to the failure `lease-lost` when the lease has expired. */
	renewLease(id: string): Promise<StoreOutcome<number>>;
	revokeLease(id: string): Promise<StoreOutcome<void>>;
	/** Watches for changes below a prefix, starting from a revision; the returned function ends the watch. */
	watch(prefix: string, fromRevision: number, listener: (event: WatchEvent) => void): () => void;
	close(): Promise<void>;
};
