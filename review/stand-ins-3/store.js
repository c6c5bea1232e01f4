/* eslint-disable camelcase -- the platform's names */
/**
 * Stand-in for the platform's key-value store over HTTP. It behaves like a sound store: answers are linearizable, and
 * leases run from the arrival of the call.
 */
import {Buffer} from 'node:buffer';
import {listenOn, readJson, sendJson} from './http.js';

const pageSize = 500;
const historyMs = 20_000;

export class Store {
	#items = new Map();
	#leases = new Map();
	#events = [];
	#watches = new Set();
	#revision = 1;
	#compacted = 0;
	#nextLease = 1;
	#server;

	get address() {
		return this.#server.address;
	}

	get revision() {
		return this.#revision;
	}

	async start() {
		this.#server = await listenOn(async (request, response) => {
			await this.#serve(request, response);
		});
	}

	async stop() {
		for (const {timer} of this.#leases.values()) {
			clearTimeout(timer);
		}

		await this.#server.stop();
	}

	/** Writes an item as the operator or a worker does. */
	put(key, value) {
		this.#change([{key, value: Buffer.from(value).toString('base64')}], []);
	}

	/** Removes an item as the platform does. */
	remove(key) {
		if (this.#items.has(key)) {
			this.#change([], [key]);
		}
	}

	/** Returns the text of an item; undefined if there is none. */
	read(key) {
		const item = this.#items.get(key);
		return item === undefined ? undefined : Buffer.from(item.value, 'base64').toString('utf8');
	}

	/** Returns the items below a prefix as pairs of key and text. */
	list(prefix) {
		return [...this.#items.values()].filter(({key}) => key.startsWith(prefix)).map(({key}) => [key, this.read(key)]);
	}

	#change(puts, deletes) {
		this.#revision++;
		const revision = this.#revision;
		const at = Date.now();
		for (const {key, value, lease = 0} of puts) {
			const former = this.#items.get(key);
			const item = {
				key, value, revision, create_rev: former?.create_rev ?? revision, lease,
			};
			this.#items.set(key, item);
			this.#events.push({at, key, event: item});
		}

		for (const key of deletes) {
			if (this.#items.delete(key)) {
				this.#events.push({at, key, event: {key, revision, removed: true}});
			}
		}

		while (this.#events.length > 0 && at - this.#events[0].at > historyMs) {
			this.#compacted = this.#events.shift().event.revision;
		}

		for (const notify of this.#watches) {
			notify();
		}

		return revision;
	}

	async #serve(request, response) {
		const url = new URL(request.url, 'http://store');
		const [, call, id] = url.pathname.split('/');
		const body = await readJson(request);
		const handlers = {
			'kv-key': () => this.#readKey(url.searchParams.get('key')),
			'kv-range': () => this.#listPage(url.searchParams),
			'kv-watch': async () => this.#watch(url.searchParams, response),
			'kv-txn': () => this.#transact(body),
			'kv-lease': () => this.#grant(body.ttl_ms),
			'kv-keep': () => this.#renew(id),
			'kv-lease-end': () => this.#endLease(id),
		};
		const {status, body: answer} = await (handlers[call] ?? (() => ({status: 404})))();
		sendJson(response, status, answer);
	}

	#readKey(key) {
		const item = this.#items.get(key);
		return item === undefined ? {status: 404} : {status: 200, body: {...item, current_rev: this.#revision}};
	}

	#listPage(query) {
		const prefix = query.get('prefix') ?? '';
		const after = query.get('after') ?? '';
		const items = [...this.#items.values()].filter(({key}) => key.startsWith(prefix) && key > after).toSorted((left, right) => (left.key < right.key ? -1 : 1));
		return {status: 200, body: {items: items.slice(0, pageSize), has_more: items.length > pageSize, current_rev: this.#revision}};
	}

	async #watch(query, response) {
		const prefix = query.get('prefix') ?? '';
		const after = Number(query.get('after'));
		if (after < this.#compacted) {
			return {status: 410};
		}

		const collect = () => this.#events.filter(({key, event}) => event.revision > after && key.startsWith(prefix)).map(({event}) => event);
		if (collect().length === 0) {
			await new Promise(resolve => {
				const finish = () => {
					clearTimeout(timer);
					this.#watches.delete(check);
					resolve();
				};

				const check = () => {
					if (collect().length > 0) {
						finish();
					}
				};

				const timer = setTimeout(finish, Number(query.get('wait_ms')));
				this.#watches.add(check);
				response.once('close', finish);
			});
		}

		return {status: 200, body: {events: collect(), current_rev: this.#revision}};
	}

	#transact({expected_rev: expected = [], puts = [], deletes = []}) {
		if ([...puts.map(({key}) => key), ...deletes].some(key => key.startsWith('op/') || key.startsWith('servers/'))) {
			return {status: 403};
		}

		if (expected.some(({key, revision}) => (this.#items.get(key)?.revision ?? 0) !== revision)) {
			return {
				status: 412, body: {
					items: expected.map(({key}) => this.#items.get(key) ?? {
						key, value: '', revision: 0, create_rev: 0, lease: 0,
					}),
				},
			};
		}

		if (puts.some(({lease = 0}) => lease !== 0 && !this.#leases.has(String(lease)))) {
			return {status: 404};
		}

		if (puts.length + deletes.length === 0) {
			return {status: 200, body: {revision: this.#revision}};
		}

		return {status: 200, body: {revision: this.#change(puts, deletes)}};
	}

	#grant(ttlMs) {
		const id = String(this.#nextLease++);
		this.#leases.set(id, {ttlMs, timer: undefined});
		this.#renew(id);
		return {status: 200, body: {lease: Number(id), ttl_ms: ttlMs}};
	}

	#renew(id) {
		const lease = this.#leases.get(id);
		if (lease === undefined) {
			return {status: 404};
		}

		clearTimeout(lease.timer);
		lease.timer = setTimeout(() => {
			this.#endLease(id);
		}, lease.ttlMs);
		return {status: 200, body: {ttl_ms: lease.ttlMs}};
	}

	#endLease(id) {
		const lease = this.#leases.get(id);
		if (lease === undefined) {
			return {status: 404};
		}

		clearTimeout(lease.timer);
		this.#leases.delete(id);
		const keys = [...this.#items.values()].filter(item => String(item.lease) === id).map(({key}) => key);
		if (keys.length > 0) {
			this.#change([], keys);
		}

		return {status: 200, body: {}};
	}
}
