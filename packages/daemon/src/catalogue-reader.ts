/**
 * Waits until the reducer has the catalogue. Reading and watching the store is decided by the reducer;
 * this only tells the start of the daemon when the first answer is in.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {isFresh} from '@rosemaryquay/core/freshness/is-fresh';
import {type Node} from '@rosemaryquay/core/node/node';

const pollIntervalMs = 5;

export class CatalogueReader {
	readonly #node: Node;
	readonly #now: () => number;

	constructor(options: {node: Node; now: () => number}) {
		this.#node = options.node;
		this.#now = options.now;
	}

	/** Resolves once the configuration is in force and no correction of the store is due, or after `timeoutMs`. */
	async ready(timeoutMs: number): Promise<boolean> {
		const until = this.#now() + timeoutMs;
		while (this.#now() < until) {
			const {catalogue} = this.#node;
			if (isFresh(this.#node, this.#now()) && catalogue.correctAt === undefined && catalogue.correcting === undefined && !catalogue.listing) {
				return true;
			}

			await delay(pollIntervalMs);
		}

		return false;
	}
}
