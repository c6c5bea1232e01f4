/**
 * Stand-in for the store of the request path and of maintenance: the parts of etcd v3's JSON gateway that `EtcdStore` uses, with fault injection.
 */
import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {type Change, type Entry, type Operation} from '@rosemaryquay/core/store/transaction';
import {readBody} from './read-body.js';
import {startServer, type ListeningServer} from './start-server.js';
import {type Backup, StoreModel} from './store-model.js';

/** Injected faults, which may be changed at any time. */
export type StoreFaults = {
	/** Connections are closed before the call takes effect. */
	down: boolean;
	/** Delay of each answer, in milliseconds. */
	delayMs: number;
	/** Number of coming calls whose answer is lost after the write has taken effect; each such call decrements it. */
	loseAnswers: number;
	/** Number of coming calls that take effect twice, as a repeated request would; each such call decrements it. */
	duplicateCalls: number;
	/** Number of coming calls that are held back until the next call has been answered; each such call decrements it. */
	reorderCalls: number;
};

type GatewayCall = Record<string, unknown>;

type GatewayOperation = {
	request_put?: {key: string; value: string; lease?: string};
	request_delete_range?: {key: string};
	request_range?: {key: string};
};

type GatewayComparison = {key: string; target?: string; mod_revision?: string; value?: string};

const encode = (text: string): string => Buffer.from(text).toString('base64');
const decode = (text: unknown): string => Buffer.from(String(text), 'base64').toString();

function encodeEntry(entry: Entry): GatewayCall {
	return {
		key: encode(entry.key), value: encode(entry.value), mod_revision: String(entry.modRevision), lease: entry.leaseId ?? '0',
	};
}

function encodeChange(change: Change): GatewayCall {
	const kv = {key: encode(change.key), mod_revision: String(change.modRevision)};
	return change.value === undefined ? {type: 'DELETE', kv} : {kv: {...kv, value: encode(change.value)}};
}

function decodeOperation(operation: GatewayOperation): Operation {
	if (operation.request_put !== undefined) {
		const {key, value, lease} = operation.request_put;
		return {
			type: 'put', key: decode(key), value: decode(value), ...(lease !== undefined && lease !== '0' && {leaseId: lease}),
		};
	}

	if (operation.request_delete_range !== undefined) {
		return {type: 'delete', key: decode(operation.request_delete_range.key)};
	}

	return {type: 'get', key: decode(operation.request_range?.key)};
}

type CallHandler = (model: StoreModel, call: GatewayCall, now: number) => GatewayCall;

const callHandlers: Record<string, CallHandler> = {
	'/v3/kv/range'(model, call) {
		const key = decode(call.key);
		const single = model.entries.get(key);
		const entries = call.range_end === undefined ? (single === undefined ? [] : [single]) : model.list(key).entries;
		return {header: {revision: String(model.revision)}, kvs: entries.map(entry => encodeEntry(entry)), count: String(entries.length)};
	},
	'/v3/kv/txn'(model, call) {
		const compare = (call.compare ?? []) as GatewayComparison[];
		const success = ((call.success ?? []) as GatewayOperation[]).map(operation => decodeOperation(operation));
		const failure = ((call.failure ?? []) as GatewayOperation[]).map(operation => decodeOperation(operation));
		const result = model.transact({
			compare: compare.map(({
				key, target, mod_revision: revision = '0', value,
			}) => (target === 'VALUE' ? {key: decode(key), value: decode(value)} : {key: decode(key), modRevision: Number(revision)})),
			success,
			failure,
		});
		const entries = [...result.entries];
		const responses = (result.succeeded ? success : failure).map(operation => {
			if (operation.type !== 'get') {
				return {};
			}

			const entry = entries.shift();
			return {response_range: {kvs: entry === undefined ? [] : [encodeEntry(entry)]}};
		});
		return {header: {revision: String(result.revision)}, succeeded: result.succeeded, responses};
	},
	'/v3/lease/grant'(model, call, now) {
		const ttl = Number(call.TTL);
		return {ID: model.grantLease(ttl * 1000, now), TTL: String(ttl)};
	},
	'/v3/lease/keepalive'(model, call, now) {
		const id = String(call.ID);
		return {result: {ID: id, TTL: String(Math.floor(model.renewLease(id, now) / 1000))}};
	},
	'/v3/lease/revoke'(model, call) {
		model.revokeLease(String(call.ID));
		return {header: {revision: String(model.revision)}};
	},
};

const leaseCheckIntervalMs = 200;

export class StoreServer {
	readonly model: StoreModel;
	readonly faults: StoreFaults = {
		down: false, delayMs: 0, loseAnswers: 0, duplicateCalls: 0, reorderCalls: 0,
	};

	calls = 0;
	#server: ListeningServer | undefined;
	#timer: NodeJS.Timeout | undefined;
	#releaseDelayedCall: (() => void) | undefined;
	readonly #watches = new Set<ServerResponse>();

	constructor(options: {model?: StoreModel} = {}) {
		this.model = options.model ?? new StoreModel();
	}

	get url(): string {
		return this.#server?.url ?? '';
	}

	async start(options: {port?: number} = {}): Promise<void> {
		this.#server = await startServer((request, response) => {
			void this.#handle(request, response);
		}, options);
		this.#timer = setInterval(() => {
			if (!this.faults.down) {
				this.model.expireLeases(performance.now());
			}
		}, leaseCheckIntervalMs);
	}

	async stop(): Promise<void> {
		clearInterval(this.#timer);
		await this.#server?.close();
	}

	/** Takes the store down or brings it back; going down ends every watch. */
	setDown(down: boolean): void {
		if (this.faults.down && !down) {
			this.model.restartLeases(performance.now());
		}

		this.faults.down = down;
		if (down) {
			this.#endWatches();
		}
	}

	/** Restarts the store from a backup, which ends every watch. */
	restore(backup: Backup): void {
		this.#endWatches();
		this.model.restore(backup);
		this.model.restartLeases(performance.now());
	}

	#endWatches(): void {
		for (const response of this.#watches) {
			response.destroy();
		}
	}

	async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		this.calls += 1;
		const body = await readBody(request);
		if (this.faults.down) {
			response.destroy();
			return;
		}

		if (this.faults.delayMs > 0) {
			await delay(this.faults.delayMs);
		}

		const call = JSON.parse(Buffer.from(body).toString()) as GatewayCall;
		if (request.url === '/v3/watch') {
			this.#watch(call, response);
			return;
		}

		const handler = callHandlers[request.url ?? ''];
		if (handler === undefined) {
			response.writeHead(404).end();
			return;
		}

		if (this.faults.reorderCalls > 0) {
			this.faults.reorderCalls -= 1;
			await new Promise<void>(resolve => {
				this.#releaseDelayedCall = resolve;
			});
		}

		let answer = handler(this.model, call, performance.now());
		if (this.faults.duplicateCalls > 0) {
			this.faults.duplicateCalls -= 1;
			answer = handler(this.model, call, performance.now());
		}

		setImmediate(() => {
			this.#releaseDelayedCall?.();
		});
		if (this.faults.loseAnswers > 0) {
			this.faults.loseAnswers -= 1;
			response.destroy();
			return;
		}

		response.writeHead(200, {'content-type': 'application/json'}).end(JSON.stringify(answer));
	}

	#watch(call: GatewayCall, response: ServerResponse): void {
		const create = call.create_request as {key: string; start_revision?: string};
		const send = (result: GatewayCall): void => {
			response.write(`${JSON.stringify({result})}\n`);
		};

		response.writeHead(200, {'content-type': 'application/json'});
		send({created: true, header: {revision: String(this.model.revision)}});
		const from = Number(create.start_revision ?? this.model.revision + 1);
		const stop = this.model.watch(decode(create.key), from, (changes, revision) => {
			send({header: {revision: String(revision)}, events: changes.map(change => encodeChange(change))});
		});
		if (stop === undefined) {
			send({canceled: true, compact_revision: String(this.model.compactedRevision + 1)});
			response.end();
			return;
		}

		this.#watches.add(response);
		response.once('close', () => {
			this.#watches.delete(response);
			stop();
		});
	}
}
