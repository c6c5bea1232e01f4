/**
 * Keeps the node's catalogue current by listing the store.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {createSnapshot} from '@rosemaryquay/core/catalogue/create-snapshot';
import {parseCatalogue} from '@rosemaryquay/core/catalogue/parse-catalogue';
import {type Entry} from '@rosemaryquay/core/store/transaction';
import {type Host} from './host.js';

const pollIntervalMs = 500;

function readDocument(entries: readonly Entry[], prefix: string): {document: Record<string, Record<string, unknown>>; revision: number} {
	const document: Record<string, Record<string, unknown>> = {};
	let revision = 0;
	for (const entry of entries) {
		const [section = '', name = ''] = entry.key.slice(prefix.length).split('/');
		document[section] ??= {};
		document[section][name] = JSON.parse(entry.value);
		revision = Math.max(revision, entry.modRevision);
	}

	return {document, revision};
}

export class CatalogueReader {
	readonly #host: Host;
	readonly #abort = new AbortController();
	#revision = 0;
	#available = true;

	constructor(options: {host: Host}) {
		this.#host = options.host;
	}

	async run(): Promise<void> {
		while (!this.#abort.signal.aborted) {
			await this.refresh();
			await delay(pollIntervalMs, undefined, {signal: this.#abort.signal}).catch(() => undefined);
		}
	}

	async refresh(): Promise<void> {
		const {store, logger, prefix} = this.#host;
		const sections = `${prefix}catalogue/sections/`;
		const sentAt = this.#host.now();
		const outcome = await store.list(sections);
		if (outcome.ok !== this.#available) {
			this.#available = outcome.ok;
			logger.log(outcome.ok ? 'store-available' : 'store-unavailable');
		}

		if (!outcome.ok) {
			return;
		}

		this.#load(outcome.value.entries, sections);
		this.#host.dispatch({type: 'configuration-confirmed', at: sentAt});
	}

	stop(): void {
		this.#abort.abort();
	}

	#load(entries: readonly Entry[], sections: string): void {
		const {logger} = this.#host;
		const {document, revision} = readDocument(entries, sections);
		if (revision <= this.#revision) {
			return;
		}

		this.#revision = revision;
		const parsed = parseCatalogue(document);
		if (!parsed.ok) {
			logger.log('catalogue-invalid', {problems: parsed.problems});
			return;
		}

		this.#host.dispatch({type: 'catalogue-loaded', at: this.#host.now(), snapshot: createSnapshot(parsed.catalogue, revision)});
		logger.log('catalogue-loaded', {revision});
	}
}
