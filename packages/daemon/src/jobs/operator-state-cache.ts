import {performance} from 'node:perf_hooks';
import {type Entry} from '@rosemaryquay/core/store/transaction';
import {type Logger} from '../create-logger.js';
import {applyChanges} from './apply-changes.js';
import {followPrefix} from './follow-prefix.js';
import {type OperatorState, type Platform} from './ports.js';

/** Cache of what the operators have set in the store, kept up to date by a watch; knows its age. */
export class OperatorStateCache {
	readonly #platform: Platform;
	readonly #logger: Logger;
	readonly #entries = new Map<string, Entry>();
	readonly #listeners = new Set<(state: OperatorState) => void>();
	#state: OperatorState = {
		configuration: undefined, revision: 0, withdrawnZones: [], waves: [],
	};

	#storeRevision = 0;
	#upToDateAt = Number.NEGATIVE_INFINITY;
	#isDisconnected = false;
	#stopFollowing: (() => void) | undefined;

	constructor(options: {platform: Platform; logger: Logger}) {
		this.#platform = options.platform;
		this.#logger = options.logger;
	}

	get state(): OperatorState {
		return this.#state;
	}

	/** Highest revision that the store is known to have reached. */
	get storeRevision(): number {
		return this.#storeRevision;
	}

	/** Time since the cache was last confirmed to be up to date, in milliseconds. */
	get ageMs(): number {
		return performance.now() - this.#upToDateAt;
	}

	start(): void {
		this.#stopFollowing = followPrefix(this.#platform.store, this.#platform.operatorFormat.prefix, {
			onListing: ({entries}) => {
				this.#entries.clear();
				for (const entry of entries) {
					this.#entries.set(entry.key, entry);
				}

				this.#decodeState();
			},
			onChanges: changes => {
				if (changes.length > 0) {
					applyChanges(this.#entries, changes);
					this.#decodeState();
				}
			},
			onUpToDate: (at, revision) => {
				this.#storeRevision = Math.max(this.#storeRevision, revision);
				this.#upToDateAt = Math.max(this.#upToDateAt, at);
				if (this.#isDisconnected) {
					this.#isDisconnected = false;
					this.#logger.log('store-regained', {ageMs: Math.round(this.ageMs)});
				}
			},
			onDisconnected: reason => {
				if (!this.#isDisconnected) {
					this.#isDisconnected = true;
					this.#logger.log('store-lost', {reason, ageMs: Math.round(this.ageMs)});
				}
			},
		});
	}

	/** Calls a listener with the current state and after each change; returns a function that unsubscribes it. */
	subscribe(listener: (state: OperatorState) => void): () => void {
		this.#listeners.add(listener);
		listener(this.#state);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/** Applies an entry that another call to the store returned, if it is newer than the cached one. */
	applyEntry(entry: Entry): void {
		const known = this.#entries.get(entry.key);
		if (known === undefined || known.modRevision < entry.modRevision) {
			this.#entries.set(entry.key, entry);
			this.#decodeState();
		}
	}

	stop(): void {
		this.#stopFollowing?.();
	}

	/** Decodes the entries. An invalid or older configuration does not replace the one in force. */
	#decodeState(): void {
		const decoded = this.#platform.operatorFormat.decode(this.#entries.values());
		const previous = this.#state;
		const isInvalidOrOlder = decoded.configuration === undefined
			|| (previous.configuration !== undefined && decoded.configuration.version < previous.configuration.version);
		this.#state = isInvalidOrOlder ? {...decoded, configuration: previous.configuration, revision: previous.revision} : decoded;
		if (this.#state.configuration?.version !== previous.configuration?.version) {
			this.#logger.log('configuration-adopted', {version: this.#state.configuration?.version, revision: this.#state.revision, previous: previous.configuration?.version});
		}

		for (const listener of this.#listeners) {
			listener(this.#state);
		}
	}
}
