import {type Store} from '@rosemaryquay/core/store/store';
import {createPayloadKey} from './create-payload-key.js';

/** Payloads of unfinished jobs in memory. Those of jobs accepted before a takeover are read from the store when they are needed. */
export class PayloadCache {
	readonly #store: Store;
	readonly #payloads = new Map<string, string>();
	readonly #reads = new Map<string, Promise<string | undefined>>();

	constructor(options: {store: Store}) {
		this.#store = options.store;
	}

	get size(): number {
		return this.#payloads.size;
	}

	set(job: string, payload: string): void {
		this.#payloads.set(job, payload);
	}

	delete(job: string): void {
		this.#payloads.delete(job);
	}

	/**
	 * Gets the payload of a job. Concurrent reads of the same payload share one call to the store.
	 *
	 * @param job - identifier of the job
	 * @returns the payload; undefined when the store does not answer or has none; never rejects
	 */
	read(job: string): string | Promise<string | undefined> {
		const cached = this.#payloads.get(job);
		if (cached !== undefined) {
			return cached;
		}

		const pending = this.#reads.get(job) ?? this.#load(job);
		this.#reads.set(job, pending);
		return pending;
	}

	async #load(job: string): Promise<string | undefined> {
		const key = createPayloadKey(job);
		const listing = await this.#store.list(key);
		this.#reads.delete(job);
		const payload = listing.ok ? listing.value.entries.find(entry => entry.key === key)?.value : undefined;
		if (payload !== undefined) {
			this.#payloads.set(job, payload);
		}

		return payload;
	}
}
