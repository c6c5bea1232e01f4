import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {type Store} from '@rosemaryquay/core/store/store';
import {type Change, type Listing} from '@rosemaryquay/core/store/transaction';

/** First and longest pause after a failed call; the store answers in milliseconds when it is well. */
const backoffBaseMs = 50;
const backoffLimitMs = 800;

export type Follower = {
	/** A whole new reading; whatever it lacks exists no longer. */
	onListing(listing: Listing): void;
	onChanges(changes: readonly Change[]): void;
	/** The state was current at this local steady time in milliseconds. */
	onCurrent?(at: number): void;
	onLost?(reason: string): void;
};

/**
 * Follows everything below a prefix of the store: reads it, watches it, and reads it again when the watch is cut or the
 * store has dropped the changes in between.
 *
 * @param store - the store
 * @param prefix - the prefix
 * @param follower - receives readings and changes in order
 * @param options - revision of a reading that the caller has made itself; the watch begins there
 * @returns a function that ends the following
 * @example
 * const stop = followPrefix(store, 'workers/', {onListing(listing) {}, onChanges(changes) {}});
 */
export function followPrefix(store: Store, prefix: string, follower: Follower, options: {fromRevision?: number} = {}): () => void {
	const {fromRevision} = options;
	const state = {isEnded: false, stopWatch: () => undefined as void};
	void follow(store, prefix, {follower, state, fromRevision});
	return () => {
		state.isEnded = true;
		state.stopWatch();
	};
}

async function follow(store: Store, prefix: string, options: {follower: Follower; state: {isEnded: boolean; stopWatch: () => void}; fromRevision: number | undefined}): Promise<void> {
	const {follower, state} = options;
	let pauseMs = backoffBaseMs;
	let revision = options.fromRevision;
	while (!state.isEnded) {
		const askedAt = performance.now();
		if (revision === undefined) {
			const listing = await store.list(prefix);
			if (state.isEnded) {
				return;
			}

			if (!listing.ok) {
				follower.onLost?.(listing.detail ?? listing.reason);
				await delay(pauseMs);
				pauseMs = Math.min(backoffLimitMs, pauseMs * 2);
				continue;
			}

			revision = listing.value.revision;
			follower.onListing(listing.value);
			follower.onCurrent?.(askedAt);
		}

		const end = await watch(store, prefix, {...options, revision});
		revision = end.revision;
		if (end.contacts > 0) {
			pauseMs = backoffBaseMs;
		}

		if (!state.isEnded) {
			follower.onLost?.(end.reason);
			await delay(pauseMs);
			pauseMs = Math.min(backoffLimitMs, pauseMs * 2);
		}
	}
}

/** Watches until the watch ends, and tells from which revision to go on; undefined when a new reading is needed. */
async function watch(store: Store, prefix: string, options: {follower: Follower; state: {isEnded: boolean; stopWatch: () => void}; revision: number}): Promise<{revision: number | undefined; contacts: number; reason: string}> {
	const {follower, state} = options;
	let {revision} = options;
	let contacts = 0;
	return new Promise(resolve => {
		const stop = store.watch(prefix, revision + 1, event => {
			if (state.isEnded) {
				return;
			}

			if (event.type !== 'changed') {
				resolve({revision: event.type === 'ended' ? revision : undefined, contacts, reason: event.type});
				return;
			}

			contacts++;
			revision = event.revision;
			follower.onChanges(event.changes);
			follower.onCurrent?.(event.currentAt ?? performance.now());
		});
		state.stopWatch = () => {
			stop();
			resolve({revision, contacts, reason: 'stopped'});
		};
	});
}
