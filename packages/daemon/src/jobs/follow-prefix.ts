import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {type Store} from '@rosemaryquay/core/store/store';
import {type Change, type Listing} from '@rosemaryquay/core/store/transaction';

/** First and longest delay of the exponential backoff after a failed call; a healthy store answers within milliseconds. */
const initialBackoffMs = 50;
const maximumBackoffMs = 800;

export type PrefixListener = {
	/** A complete listing, which replaces everything received before: keys that it lacks have been deleted. */
	onListing(listing: Listing): void;
	onChanges(changes: readonly Change[]): void;
	/** Everything received so far was up to date at this local monotonic time in milliseconds, when the store had reached `revision`. */
	onUpToDate?(at: number, revision: number): void;
	/** A listing failed or a watch ended; it is retried with backoff. */
	onDisconnected?(reason: string): void;
};

/**
 * Keeps a listener up to date with all entries below a prefix of the store: lists them, then watches for changes. A
 * watch that was cut off resumes where it ended; entries are listed again when the store has compacted
 * the changes in between or was restored from an older state.
 *
 * @param store - the store
 * @param prefix - the prefix
 * @param listener - receives listings and changes in order
 * @param options - `fromRevision`: revision of a listing that the caller has made itself; the first listing is skipped and the watch starts there. `listingPrefix`: longer prefix to which listings are restricted
 * @returns a function that stops the listing and watching
 * @example
 * const stop = followPrefix(store, 'workers/', {onListing(listing) {}, onChanges(changes) {}});
 */
export function followPrefix(store: Store, prefix: string, listener: PrefixListener, options: {fromRevision?: number; listingPrefix?: string} = {}): () => void {
	const {fromRevision, listingPrefix = prefix} = options;
	const state = {isStopped: false, stopWatch: () => undefined as void};
	void follow(store, prefix, {
		listener, state, fromRevision, listingPrefix,
	});
	return () => {
		state.isStopped = true;
		state.stopWatch();
	};
}

async function follow(store: Store, prefix: string, options: {listener: PrefixListener; state: {isStopped: boolean; stopWatch: () => void}; fromRevision: number | undefined; listingPrefix: string}): Promise<void> {
	const {listener, state, listingPrefix} = options;
	let backoffMs = initialBackoffMs;
	let revision = options.fromRevision;
	while (!state.isStopped) {
		const requestedAt = performance.now();
		if (revision === undefined) {
			const listing = await store.list(listingPrefix);
			if (state.isStopped) {
				return;
			}

			if (!listing.ok) {
				listener.onDisconnected?.(listing.detail ?? listing.reason);
				await delay(backoffMs);
				backoffMs = Math.min(maximumBackoffMs, backoffMs * 2);
				continue;
			}

			revision = listing.value.revision;
			listener.onListing(listing.value);
			listener.onUpToDate?.(requestedAt, revision);
		}

		const end = await watch(store, prefix, {...options, revision});
		revision = end.revision;
		if (end.receivedEvents > 0) {
			backoffMs = initialBackoffMs;
		}

		if (!state.isStopped) {
			listener.onDisconnected?.(end.reason);
			await delay(backoffMs);
			backoffMs = Math.min(maximumBackoffMs, backoffMs * 2);
		}
	}
}

/** Watches until the watch ends. Resolves to the revision to resume from, or undefined when a new listing is needed. */
async function watch(store: Store, prefix: string, options: {listener: PrefixListener; state: {isStopped: boolean; stopWatch: () => void}; revision: number}): Promise<{revision: number | undefined; receivedEvents: number; reason: string}> {
	const {listener, state} = options;
	let {revision} = options;
	let receivedEvents = 0;
	return new Promise(resolve => {
		const stop = store.watch(prefix, revision + 1, event => {
			if (state.isStopped) {
				return;
			}

			if (event.type !== 'changed') {
				resolve({revision: event.type === 'ended' ? revision : undefined, receivedEvents, reason: event.type});
				return;
			}

			receivedEvents++;
			revision = event.revision;
			listener.onChanges(event.changes);
			listener.onUpToDate?.(event.completeUntil ?? performance.now(), revision);
		});
		state.stopWatch = () => {
			stop();
			resolve({revision, receivedEvents, reason: 'stopped'});
		};
	});
}
