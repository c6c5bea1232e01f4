import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {z} from 'zod';
import {type Change, type Entry} from '@rosemaryquay/core/store/transaction';
import {readBody} from '../read-body.js';
import {type ListeningServer, startServer} from '../start-server.js';
import {StoreModel} from '../store-model.js';

/** Injected fault of the store. */
export type StoreFault = 'none' | 'refuses' | 'refuses-writes' | 'silent' | 'loses-answers' | 'answers-late';

const pageSize = 500;

/** Largest size of a page, encoded. */
const pageBytes = 1_000_000;

const packetBytes = 8192;

/** Delay of a late answer: near the time-out of the store's client (1.2 s), so that some answers arrive after it. */
const lateAnswerMs = 1100;

const configurationKey = 'op/config';

const transactionSchema = z.object({
	expected_rev: z.array(z.object({key: z.string(), revision: z.number()})).default([]),
	puts: z.array(z.object({key: z.string(), value: z.string(), lease: z.number().optional()})).default([]),
	deletes: z.array(z.string()).default([]),
});

/** An entry as the store sends it. */
type Item = {readonly key: string; readonly value: string; readonly revision: number; readonly create_rev: number; readonly lease: number};

type Answer = {readonly status: number; readonly body?: unknown};

/** Stand-in for the platform's own key-value store over HTTP, which holds the state of the job scheduler. */
export class StoreHttp {
	readonly model = new StoreModel();
	fault: StoreFault = 'none';
	calls = 0;
	/** Rate of the link from the store, shared by all answers; infinite by default. */
	bytesPerSecond = Number.POSITIVE_INFINITY;
	/** Bytes of all answers. */
	sentBytes = 0;
	#linkFreeAt = 0;
	#server: ListeningServer | undefined;
	readonly #createRevisions = new Map<string, number>();

	readonly #handlers: Record<string, (call: {id: string; query: URLSearchParams; body: unknown}) => Answer | Promise<Answer>> = {
		'kv-key': ({query}) => {
			const entry = this.model.entries.get(query.get('key') ?? '');
			return entry === undefined ? {status: 404} : {status: 200, body: {...this.#encode(entry), current_rev: this.model.revision}};
		},
		'kv-range': ({query}) => {
			const after = query.get('after') ?? '';
			const entries = this.model.list(query.get('prefix') ?? '').entries.filter(({key}) => key > after);
			const items = this.#encodePage(entries);
			return {status: 200, body: {items, has_more: entries.length > items.length, current_rev: this.model.revision}};
		},
		'kv-watch': async ({query}) => this.#watch(query),
		'kv-txn': ({body}) => this.#transact(body),
		'kv-lease': ({body}) => {
			const {ttl_ms: ttlMs} = z.object({ttl_ms: z.number()}).parse(body);
			return {status: 200, body: {lease: Number(this.model.grantLease(ttlMs, Date.now())), ttl_ms: ttlMs}};
		},
		'kv-keep': ({id}) => {
			const ttlMs = this.model.renewLease(id, Date.now());
			return ttlMs === 0 ? {status: 404} : {status: 200, body: {ttl_ms: ttlMs}};
		},
		'kv-lease-end': ({id}) => {
			this.model.revokeLease(id);
			return {status: 200, body: {}};
		},
	};

	async start(): Promise<void> {
		this.#server = await startServer((request, response) => {
			void this.#serve(request, response);
		});
	}

	get address(): string {
		return new URL(this.#server?.url ?? '').host;
	}

	async stop(): Promise<void> {
		await this.#server?.close();
	}

	/** Puts the configuration of the operators into the store. */
	configure(value: string): void {
		this.model.put(configurationKey, value);
	}

	/** Discards the history of changes, so that each watch that is not at a new revision yet gets a 410. */
	loseHistory(): void {
		this.model.put('soak/history-lost', String(this.model.revision));
		this.model.compact(this.model.revision);
	}

	async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		this.calls++;
		const body = await readBody(request);
		if (this.fault === 'silent') {
			return;
		}

		if (this.fault === 'refuses' || (this.fault === 'refuses-writes' && request.url?.startsWith('/kv-txn') === true)) {
			send(response, {status: 503});
			return;
		}

		const answer = await this.#answer(request, body);
		if (this.fault === 'loses-answers') {
			response.destroy();
			return;
		}

		if (this.fault === 'answers-late') {
			await delay(lateAnswerMs);
		}

		await this.#send(response, answer);
	}

	/** Sends an answer in parts of a network packet each, at the rate of the link. */
	async #send(response: ServerResponse, {status, body}: Answer): Promise<void> {
		const bytes = Buffer.from(body === undefined ? '' : JSON.stringify(body));
		this.sentBytes += bytes.length;
		if (this.bytesPerSecond === Number.POSITIVE_INFINITY) {
			send(response, {status, body});
			return;
		}

		response.writeHead(status, {'content-type': 'application/json', 'content-length': bytes.length});
		for (let position = 0; position < bytes.length && !response.destroyed; position += packetBytes) {
			const packet = bytes.subarray(position, position + packetBytes);
			const now = performance.now();
			this.#linkFreeAt = Math.max(this.#linkFreeAt, now) + ((packet.length / this.bytesPerSecond) * 1000);
			await delay(this.#linkFreeAt - now);
			response.write(packet);
		}

		response.end();
	}

	async #answer(request: IncomingMessage, body: Uint8Array): Promise<Answer> {
		this.model.expireLeases(Date.now());
		const url = new URL(request.url ?? '/', 'http://store');
		const [, call = '', id = ''] = url.pathname.split('/');
		const handler = this.#handlers[call];
		return handler === undefined ? {status: 404} : handler({id, query: url.searchParams, body: body.length === 0 ? {} : JSON.parse(Buffer.from(body).toString('utf8'))});
	}

	async #watch(query: URLSearchParams): Promise<Answer> {
		const after = Number(query.get('after'));
		const waitMs = Number(query.get('wait_ms'));
		return new Promise(resolve => {
			const finish = (changes: readonly Change[]): void => {
				resolve({status: 200, body: {events: changes.map(change => this.#encodeChange(change)), current_rev: this.model.revision}});
			};

			const watch: {stop?: () => void} = {};
			const timer = setTimeout(() => {
				watch.stop?.();
				finish([]);
			}, waitMs);
			const stop = this.model.watch(query.get('prefix') ?? '', after + 1, changes => {
				clearTimeout(timer);
				watch.stop?.();
				finish(changes);
			});
			if (stop === undefined) {
				clearTimeout(timer);
				resolve({status: 410});
				return;
			}

			watch.stop = stop;
		});
	}

	#transact(body: unknown): Answer {
		const {expected_rev: expected, puts, deletes} = transactionSchema.parse(body);
		if (puts.some(({lease}) => lease !== undefined && !this.model.hasLease(String(lease)))) {
			return {status: 404};
		}

		if (expected.some(({key, revision}) => (this.model.entries.get(key)?.modRevision ?? 0) !== revision)) {
			const items = expected.map(({key}) => {
				const entry = this.model.entries.get(key);
				return entry === undefined ? {key, value: '', revision: 0} : this.#encode(entry);
			});
			return {status: 412, body: {items}};
		}

		const {revision} = this.model.transact({
			compare: [],
			success: [
				...puts.map(({key, value, lease}) => ({
					type: 'put' as const, key, value: Buffer.from(value, 'base64').toString('utf8'), ...(lease !== undefined && {leaseId: String(lease)}),
				})),
				...deletes.map(key => ({type: 'delete' as const, key})),
			],
			failure: [],
		});
		for (const {key} of puts) {
			this.#createRevisions.set(key, this.#createRevisions.get(key) ?? revision);
		}

		return {status: 200, body: {revision}};
	}

	#encodePage(entries: readonly Entry[]): Item[] {
		const items: Item[] = [];
		let bytes = 0;
		for (const entry of entries.slice(0, pageSize)) {
			const item = this.#encode(entry);
			bytes += item.value.length;
			if (items.length > 0 && bytes > pageBytes) {
				break;
			}

			items.push(item);
		}

		return items;
	}

	#encode({key, value, modRevision, leaseId}: Entry): Item {
		return {
			key, value: Buffer.from(value).toString('base64'), revision: modRevision, create_rev: this.#createRevisions.get(key) ?? modRevision, lease: Number(leaseId ?? 0),
		};
	}

	#encodeChange({key, value, modRevision}: Change) {
		return value === undefined ? {key, revision: modRevision, removed: true} : this.#encode({key, value, modRevision});
	}
}

function send(response: ServerResponse, {status, body}: Answer): void {
	response.writeHead(status, {'content-type': 'application/json'});
	response.end(body === undefined ? '' : JSON.stringify(body));
}
