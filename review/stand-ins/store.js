/* eslint-disable camelcase -- the fields of the users' platform are in snake case */
import {Buffer} from 'node:buffer';
import {serveJson} from './http.js';

const pageSize = 500;
const expiryIntervalMs = 20;

/** Stand-in of the platform's key-value store: linearizable reads, conditional writes, leases and watches. It never fails. */
export class Store {
	#revision = 10;
	#items = new Map();
	#history = [];
	#leases = new Map();
	#nextLease = 100;
	#watches = new Set();
	#timer;
	#server;

	async start(host) {
		this.#server = await serveJson(host, async call => this.#handle(call));
		this.#timer = setInterval(() => {
			for (const [id, lease] of this.#leases) {
				if (lease.expiresAt <= performance.now()) {
					this.#endLease(id);
				}
			}
		}, expiryIntervalMs);
	}

	get address() {
		return this.#server.address;
	}

	stop() {
		clearInterval(this.#timer);
		this.#server.close();
	}

	/** Writes a value as the operator or a worker does. */
	put(key, value) {
		this.#apply([{key, value: Buffer.from(JSON.stringify(value)).toString('base64'), lease: 0}], []);
		return this.#revision;
	}

	remove(key) {
		this.#apply([], [key]);
	}

	/** Finds an item as calls return it; undefined if there is none. */
	find(key) {
		return this.#items.get(key);
	}

	/** Reads a value; undefined if there is none. */
	read(key) {
		const item = this.#items.get(key);
		return item === undefined ? undefined : Buffer.from(item.value, 'base64').toString('utf8');
	}

	async #handle({method, url, body}) {
		const [, call, id] = url.pathname.split('/');
		const query = url.searchParams;
		if (call === 'kv-key') {
			const item = this.#items.get(query.get('key'));
			return item === undefined ? {status: 404} : {status: 200, body: {...item, current_rev: this.#revision}};
		}

		if (call === 'kv-range') {
			const after = query.get('after') ?? '';
			const matching = [...this.#items.values()].filter(({key}) => key.startsWith(query.get('prefix')) && key > after).toSorted((a, b) => a.key < b.key ? -1 : 1);
			return {status: 200, body: {items: matching.slice(0, pageSize), has_more: matching.length > pageSize, current_rev: this.#revision}};
		}

		if (call === 'kv-watch') {
			return this.#watch(query.get('prefix'), Number(query.get('after')), Number(query.get('wait_ms')));
		}

		if (call === 'kv-txn') {
			return this.#transact(body);
		}

		if (call === 'kv-lease' && method === 'POST') {
			this.#nextLease++;
			this.#leases.set(String(this.#nextLease), {ttlMs: body.ttl_ms, expiresAt: performance.now() + body.ttl_ms});
			return {status: 200, body: {lease: this.#nextLease, ttl_ms: body.ttl_ms}};
		}

		if (call === 'kv-keep') {
			const lease = this.#leases.get(id);
			if (lease === undefined) {
				return {status: 404};
			}

			lease.expiresAt = performance.now() + lease.ttlMs;
			return {status: 200, body: {ttl_ms: lease.ttlMs}};
		}

		if (call === 'kv-lease-end') {
			if (!this.#leases.has(id)) {
				return {status: 404};
			}

			this.#endLease(id);
			return {status: 200, body: {}};
		}

		return {status: 404};
	}

	#transact({expected_rev: expected = [], puts = [], deletes = []}) {
		if (puts.some(({lease = 0}) => lease !== 0 && !this.#leases.has(String(lease)))) {
			return {status: 404};
		}

		if (expected.some(({key, revision}) => (this.#items.get(key)?.revision ?? 0) !== revision)) {
			return {status: 412, body: {items: expected.map(({key}) => this.#items.get(key)).filter(item => item !== undefined)}};
		}

		this.#apply(puts, deletes);
		return {status: 200, body: {revision: this.#revision}};
	}

	#apply(puts, deletes) {
		if (puts.length + deletes.length === 0) {
			return;
		}

		this.#revision++;
		const events = [];
		for (const {key, value, lease = 0} of puts) {
			const item = {
				key, value, revision: this.#revision, create_rev: this.#items.get(key)?.create_rev ?? this.#revision, lease,
			};
			this.#items.set(key, item);
			events.push(item);
		}

		for (const key of deletes) {
			if (this.#items.delete(key)) {
				events.push({key, revision: this.#revision, removed: true});
			}
		}

		this.#history.push(...events);
		for (const wake of this.#watches) {
			wake();
		}
	}

	#endLease(id) {
		this.#leases.delete(id);
		this.#apply([], [...this.#items.values()].filter(({lease}) => String(lease) === id).map(({key}) => key));
	}

	async #watch(prefix, after, waitMs) {
		const find = () => this.#history.filter(({key, revision}) => revision > after && key.startsWith(prefix));
		if (find().length === 0) {
			await new Promise(resolve => {
				const timer = setTimeout(() => {
					this.#watches.delete(wake);
					resolve();
				}, waitMs);
				const wake = () => {
					if (find().length > 0) {
						clearTimeout(timer);
						this.#watches.delete(wake);
						resolve();
					}
				};

				this.#watches.add(wake);
			});
		}

		return {status: 200, body: {events: find(), current_rev: this.#revision}};
	}
}
