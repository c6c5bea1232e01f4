import {performance} from 'node:perf_hooks';
import {type Entry} from '@rosemaryquay/core/store/transaction';
import {type Logger} from '../create-logger.js';
import {applyChanges} from './apply-changes.js';
import {followPrefix} from './follow-prefix.js';
import {type OperatorState, type Platform} from './ports.js';

/** Keeps what the operators ask for, and how old that knowledge is. */
export class OperatorWatch {
	readonly #platform: Platform;
	readonly #logger: Logger;
	readonly #entries = new Map<string, Entry>();
	readonly #listeners = new Set<(state: OperatorState) => void>();
	#state: OperatorState = {
		configuration: undefined, revision: 0, withdrawnZones: [], waves: [],
	};

	#currentAt = Number.NEGATIVE_INFINITY;
	#isLost = false;
	#stop: (() => void) | undefined;

	constructor(options: {platform: Platform; logger: Logger}) {
		this.#platform = options.platform;
		this.#logger = options.logger;
	}

	get state(): OperatorState {
		return this.#state;
	}

	/** Time since the knowledge was known to be current, in milliseconds. */
	get ageMs(): number {
		return performance.now() - this.#currentAt;
	}

	start(): void {
		this.#stop = followPrefix(this.#platform.store, this.#platform.operators.prefix, {
			onListing: ({entries}) => {
				this.#entries.clear();
				for (const entry of entries) {
					this.#entries.set(entry.key, entry);
				}

				this.#adopt();
			},
			onChanges: changes => {
				if (changes.length > 0) {
					applyChanges(this.#entries, changes);
					this.#adopt();
				}
			},
			onCurrent: at => {
				this.#currentAt = Math.max(this.#currentAt, at);
				if (this.#isLost) {
					this.#isLost = false;
					this.#logger.log('store-regained', {ageMs: Math.round(this.ageMs)});
				}
			},
			onLost: reason => {
				if (!this.#isLost) {
					this.#isLost = true;
					this.#logger.log('store-lost', {reason, ageMs: Math.round(this.ageMs)});
				}
			},
		});
	}

	/** Calls a listener with the state now and after each change; returns a function that ends this. */
	subscribe(listener: (state: OperatorState) => void): () => void {
		this.#listeners.add(listener);
		listener(this.#state);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/** Takes in a newer entry that another call has shown. */
	adopt(entry: Entry): void {
		const known = this.#entries.get(entry.key);
		if (known === undefined || known.modRevision < entry.modRevision) {
			this.#entries.set(entry.key, entry);
			this.#adopt();
		}
	}

	stop(): void {
		this.#stop?.();
	}

	#adopt(): void {
		const decoded = this.#platform.operators.decode(this.#entries.values());
		const known = this.#state;
		const isOlder = decoded.configuration === undefined
			|| (known.configuration !== undefined && decoded.configuration.version < known.configuration.version);
		this.#state = isOlder ? {...decoded, configuration: known.configuration, revision: known.revision} : decoded;
		if (this.#state.configuration?.version !== known.configuration?.version) {
			this.#logger.log('configuration-adopted', {version: this.#state.configuration?.version, revision: this.#state.revision, previous: known.configuration?.version});
		}

		for (const listener of this.#listeners) {
			listener(this.#state);
		}
	}
}
