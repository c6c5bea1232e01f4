/* eslint-disable camelcase -- the fields of the platform are in snake case */
/**
 * Stand-in for the platform's metadata store: keys with revisions, leases, watches and conditional transactions.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';

const pageSize = 500;
const answerDelayMs = 4;

export class Store {
	/** `none`: serves; `busy`: answers 503 and does nothing; `silent`: reads calls and never answers. */
	fault = 'none';
	entries = new Map();
	revision = 1;
	#history = [];
	#leases = new Map();
	#nextLease = 1000;
	#waiting = new Set();
	#server = createServer((request, response) => {
		this.#serve(request, response); // Answers on its own.
	});
	#pausedAt;
	#expiry = setInterval(() => {
		this.#expireLeases();
	}, 20);

	async start() {
		await new Promise(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
	}

	get address() {
		return `127.0.0.1:${this.#server.address().port}`;
	}

	stop() {
		clearInterval(this.#expiry);
		this.#server.closeAllConnections();
		this.#server.close();
	}

	/** Begins an outage. Leases pause meanwhile, and open connections are cut. */
	fail(fault) {
		this.fault = fault;
		this.#pausedAt = performance.now();
		this.#server.closeAllConnections();
	}

	/** Ends an outage. */
	recover() {
		this.fault = 'none';
		const pausedMs = performance.now() - this.#pausedAt;
		for (const lease of this.#leases.values()) {
			lease.endsAt += pausedMs;
		}

		this.#server.closeAllConnections();
	}

	/** Writes a value as an operator or a worker does, not bounded by a fault. */
	put(key, value) {
		this.#change([{key, value: Buffer.from(JSON.stringify(value)).toString('base64'), lease: 0}], []);
	}

	remove(key) {
		if (this.entries.has(key)) {
			this.#change([], [key]);
		}
	}

	read(key) {
		const entry = this.entries.get(key);
		return entry === undefined ? undefined : JSON.parse(Buffer.from(entry.value, 'base64').toString('utf8'));
	}

	#change(puts, deletes) {
		this.revision++;
		const events = [];
		for (const {key, value, lease = 0} of puts) {
			const entry = {
				key, value, revision: this.revision, create_rev: this.entries.get(key)?.create_rev ?? this.revision, lease,
			};
			this.entries.set(key, entry);
			events.push(entry);
		}

		for (const key of deletes) {
			if (this.entries.delete(key)) {
				events.push({key, revision: this.revision, removed: true});
			}
		}

		this.#history.push(...events);
		for (const wake of this.#waiting) {
			wake();
		}

		return this.revision;
	}

	#expireLeases() {
		if (this.fault !== 'none') {
			return;
		}

		const now = performance.now();
		for (const [id, {endsAt}] of this.#leases) {
			if (endsAt <= now) {
				this.#endLease(id);
			}
		}
	}

	#endLease(id) {
		this.#leases.delete(id);
		const keys = [...this.entries.values()].filter(({lease}) => lease === id).map(({key}) => key);
		if (keys.length > 0) {
			this.#change([], keys);
		}
	}

	async #serve(request, response) {
		const chunks = [];
		for await (const chunk of request) {
			chunks.push(chunk);
		}

		if (this.fault === 'silent') {
			return;
		}

		const {status, body} = this.fault === 'busy' ? {status: 503} : await this.#answer(request, Buffer.concat(chunks).toString('utf8'));
		setTimeout(() => {
			response.writeHead(status, {'content-type': 'application/json'});
			response.end(body === undefined ? '' : JSON.stringify(body));
		}, answerDelayMs);
	}

	#answer(request, text) {
		const url = new URL(request.url, 'http://store');
		const [, call, id] = url.pathname.split('/');
		const query = url.searchParams;
		const body = text === '' ? {} : JSON.parse(text);
		const handlers = {
			'kv-key': () => this.#readKey(query.get('key')),
			'kv-range': () => this.#list(query.get('prefix') ?? '', query.get('after') ?? ''),
			'kv-watch': async () => this.#watch(query),
			'kv-txn': () => this.#transact(body),
			'kv-lease': () => this.#grant(body.ttl_ms),
			'kv-keep': () => this.#keep(Number(id)),
			'kv-lease-end': () => {
				this.#endLease(Number(id));
				return {status: 200, body: {}};
			},
		};
		return handlers[call]?.() ?? {status: 404};
	}

	#readKey(key) {
		const entry = this.entries.get(key);
		return entry === undefined ? {status: 404} : {status: 200, body: {...entry, current_rev: this.revision}};
	}

	#list(prefix, after) {
		const found = [...this.entries.values()].filter(({key}) => key.startsWith(prefix) && key > after).toSorted((left, right) => left.key < right.key ? -1 : 1);
		const items = found.slice(0, pageSize);
		return {status: 200, body: {items, has_more: found.length > items.length, current_rev: this.revision}};
	}

	async #watch(query) {
		const prefix = query.get('prefix') ?? '';
		const after = Number(query.get('after'));
		const find = () => this.#history.filter(({key, revision}) => revision > after && key.startsWith(prefix));
		if (find().length === 0) {
			await new Promise(resolve => {
				const finish = () => {
					clearTimeout(timer);
					this.#waiting.delete(wake);
					resolve();
				};

				const wake = () => {
					if (find().length > 0) {
						finish();
					}
				};

				const timer = setTimeout(finish, Number(query.get('wait_ms')));
				this.#waiting.add(wake);
			});
		}

		return {status: 200, body: {events: find(), current_rev: this.revision}};
	}

	#transact({expected_rev: expected = [], puts = [], deletes = []}) {
		if (puts.some(({lease = 0}) => lease !== 0 && !this.#leases.has(lease))) {
			return {status: 404};
		}

		if (expected.some(({key, revision}) => (this.entries.get(key)?.revision ?? 0) !== revision)) {
			return {status: 412, body: {items: expected.map(({key}) => this.entries.get(key) ?? {key, value: '', revision: 0})}};
		}

		return {status: 200, body: {revision: this.#change(puts, deletes)}};
	}

	#grant(ttlMs) {
		const lease = this.#nextLease++;
		this.#leases.set(lease, {ttlMs, endsAt: performance.now() + ttlMs});
		return {status: 200, body: {lease, ttl_ms: ttlMs}};
	}

	#keep(id) {
		const lease = this.#leases.get(id);
		if (lease === undefined) {
			return {status: 404};
		}

		lease.endsAt = performance.now() + lease.ttlMs;
		return {status: 200, body: {ttl_ms: lease.ttlMs}};
	}
}
