/**
 * Store client that uses the JSON gateway of etcd v3.
 */
import {Buffer} from 'node:buffer';
import {Pool} from 'undici';
import {z} from 'zod';
import {
	type Change, type Comparison, type Entry, type Listing, type Operation, type StoreFailure, type StoreOutcome, type Transaction, type TransactionResult,
} from '@rosemaryquay/core/store/transaction';
import {type Store, type WatchEvent} from '@rosemaryquay/core/store/store';
import {CallRateLimiter} from './call-rate-limiter.js';

const defaultTimeoutMs = 2000;
const millisecondsPerSecond = 1000;

const keyValueSchema = z.object({
	key: z.string(), value: z.string().default(''), mod_revision: z.string(), lease: z.string().optional(),
});
const headerSchema = z.object({revision: z.string()});
const rangeSchema = z.object({header: headerSchema, kvs: z.array(keyValueSchema).default([])});
const transactionSchema = z.object({
	header: headerSchema,
	succeeded: z.boolean().default(false),
	responses: z.array(z.object({response_range: z.object({kvs: z.array(keyValueSchema).default([])}).optional()})).default([]),
});
const leaseSchema = z.object({ID: z.string()});
const keepAliveSchema = z.object({result: z.object({TTL: z.string().default('0')})});
const watchSchema = z.object({
	result: z.object({
		header: headerSchema.optional(),
		created: z.boolean().default(false),
		canceled: z.boolean().default(false),
		compact_revision: z.string().optional(),
		events: z.array(z.object({type: z.string().default('PUT'), kv: keyValueSchema})).default([]),
	}),
});

type KeyValue = z.infer<typeof keyValueSchema>;

const encode = (text: string): string => Buffer.from(text).toString('base64');
const decode = (text: string): string => Buffer.from(text, 'base64').toString();

function decodeEntry(keyValue: KeyValue): Entry {
	const {lease = '0'} = keyValue;
	return {
		key: decode(keyValue.key), value: decode(keyValue.value), modRevision: Number(keyValue.mod_revision), ...(lease !== '0' && {leaseId: lease}),
	};
}

/** Encodes the end of the range of keys that start with `prefix`: the prefix with its last byte incremented. */
function encodeRangeEnd(prefix: string): string {
	const bytes = Buffer.from(prefix);
	const last = bytes.length - 1;
	bytes[last] = (bytes[last] ?? 0) + 1;
	return bytes.toString('base64');
}

function encodeOperation(operation: Operation): Record<string, unknown> {
	const key = encode(operation.key);
	if (operation.type === 'get') {
		return {request_range: {key}};
	}

	if (operation.type === 'delete') {
		return {request_delete_range: {key}};
	}

	return {request_put: {key, value: encode(operation.value), ...(operation.leaseId !== undefined && {lease: operation.leaseId})}};
}

function encodeComparison({key, modRevision, value}: Comparison): Array<Record<string, unknown>> {
	const common = {key: encode(key), result: 'EQUAL'};
	const comparisons: Array<Record<string, unknown>> = [{...common, target: 'MOD', mod_revision: String(modRevision)}];
	return value === undefined ? comparisons : [...comparisons, {...common, target: 'VALUE', value: encode(value)}];
}

/** Codes of errors that occur before a call can have reached the store. */
const unsentErrorCodes = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH']);

function toStoreFailure(error: unknown): StoreFailure {
	const code = error instanceof Error && 'code' in error ? String(error.code) : '';
	const detail = error instanceof Error ? error.message : String(error);
	return {ok: false, reason: unsentErrorCodes.has(code) ? 'unavailable' : 'outcome-unknown', detail};
}

export class EtcdStore implements Store {
	readonly #connectionPool: Pool;
	readonly #timeoutMs: number;
	readonly #rateLimiter: CallRateLimiter;

	constructor(options: {url: string; timeoutMs?: number; connections?: number; rateLimiter?: CallRateLimiter}) {
		const {url, timeoutMs = defaultTimeoutMs, connections = 8, rateLimiter = new CallRateLimiter()} = options;
		this.#connectionPool = new Pool(url, {connections});
		this.#timeoutMs = timeoutMs;
		this.#rateLimiter = rateLimiter;
	}

	/** Number of calls made so far; a watch counts as one. */
	get calls(): number {
		return this.#rateLimiter.admittedCalls;
	}

	async list(prefix: string): Promise<StoreOutcome<Listing>> {
		const outcome = await this.#call('/v3/kv/range', {key: encode(prefix), range_end: encodeRangeEnd(prefix)}, rangeSchema);
		if (!outcome.ok) {
			return outcome;
		}

		const {header, kvs} = outcome.value;
		return {ok: true, value: {revision: Number(header.revision), entries: kvs.map(keyValue => decodeEntry(keyValue))}};
	}

	async transact(transaction: Transaction): Promise<StoreOutcome<TransactionResult>> {
		const outcome = await this.#call('/v3/kv/txn', {
			compare: transaction.compare.flatMap(comparison => encodeComparison(comparison)),
			success: transaction.success.map(operation => encodeOperation(operation)),
			failure: transaction.failure.map(operation => encodeOperation(operation)),
		}, transactionSchema);
		if (!outcome.ok) {
			return outcome;
		}

		const {header, succeeded, responses} = outcome.value;
		const entries: Array<Entry | undefined> = [];
		for (const {response_range: range} of responses) {
			if (range !== undefined) {
				const [first] = range.kvs;
				entries.push(first === undefined ? undefined : decodeEntry(first));
			}
		}

		return {ok: true, value: {succeeded, revision: Number(header.revision), entries}};
	}

	async grantLease(ttlMs: number): Promise<StoreOutcome<string>> {
		const seconds = Math.max(1, Math.ceil(ttlMs / millisecondsPerSecond));
		const outcome = await this.#call('/v3/lease/grant', {TTL: String(seconds)}, leaseSchema);
		return outcome.ok ? {ok: true, value: outcome.value.ID} : outcome;
	}

	async renewLease(id: string): Promise<StoreOutcome<number>> {
		const outcome = await this.#call('/v3/lease/keepalive', {ID: id}, keepAliveSchema);
		if (!outcome.ok) {
			return outcome;
		}

		const seconds = Number(outcome.value.result.TTL);
		return seconds > 0 ? {ok: true, value: seconds * millisecondsPerSecond} : {ok: false, reason: 'lease-lost'};
	}

	async revokeLease(id: string): Promise<StoreOutcome<void>> {
		const outcome = await this.#call('/v3/lease/revoke', {ID: id}, z.unknown());
		return outcome.ok ? {ok: true, value: undefined} : outcome;
	}

	watch(prefix: string, fromRevision: number, listener: (event: WatchEvent) => void): () => void {
		const abort = new AbortController();
		void this.#runWatch(prefix, fromRevision, listener, abort.signal);
		return () => {
			abort.abort();
		};
	}

	async close(): Promise<void> {
		await this.#connectionPool.destroy();
	}

	async #call<Schema extends z.ZodType>(path: string, body: unknown, schema: Schema): Promise<StoreOutcome<z.infer<Schema>>> {
		if (!this.#rateLimiter.tryAcquire(performance.now())) {
			return {ok: false, reason: 'unavailable', detail: 'The call budget of this process is used up'};
		}

		try {
			const response = await this.#connectionPool.request({
				path,
				method: 'POST',
				headers: {'content-type': 'application/json'},
				body: JSON.stringify(body),
				signal: AbortSignal.timeout(this.#timeoutMs),
			});
			const answer: unknown = await response.body.json();
			if (response.statusCode !== 200) {
				return {ok: false, reason: response.statusCode >= 500 ? 'outcome-unknown' : 'invalid', detail: JSON.stringify(answer)};
			}

			const parsed = schema.safeParse(answer);
			return parsed.success ? {ok: true, value: parsed.data} : {ok: false, reason: 'outcome-unknown', detail: parsed.error.message};
		} catch (error) {
			return toStoreFailure(error);
		}
	}

	async #runWatch(prefix: string, fromRevision: number, listener: (event: WatchEvent) => void, signal: AbortSignal): Promise<void> {
		let isEnded = false;
		const report = (event: WatchEvent): void => {
			if (!isEnded && !signal.aborted) {
				isEnded = event.type !== 'changed';
				listener(event);
			}
		};

		try {
			if (this.#rateLimiter.tryAcquire(performance.now())) {
				await this.#readWatchStream(prefix, fromRevision, report, signal, () => isEnded);
			}
		} catch {
			// Whatever ended the watch, its end is reported below.
		}

		report({type: 'ended'});
	}

	async #readWatchStream(prefix: string, fromRevision: number, report: (event: WatchEvent) => void, signal: AbortSignal, hasEnded: () => boolean): Promise<void> {
		const response = await this.#connectionPool.request({
			path: '/v3/watch',
			method: 'POST',
			headers: {'content-type': 'application/json'},
			body: JSON.stringify({create_request: {key: encode(prefix), range_end: encodeRangeEnd(prefix), start_revision: String(fromRevision)}}),
			bodyTimeout: 0,
			signal,
		});
		let pending = '';
		response.body.setEncoding('utf8');
		for await (const chunk of response.body) {
			const lines = (pending + String(chunk)).split('\n');
			pending = lines.pop() ?? '';
			for (const line of lines) {
				this.#reportWatchMessage(line, fromRevision, report);
			}

			if (hasEnded()) {
				return;
			}
		}
	}

	#reportWatchMessage(line: string, fromRevision: number, report: (event: WatchEvent) => void): void {
		const {result} = watchSchema.parse(JSON.parse(line));
		const revision = Number(result.header?.revision ?? 0);
		// The watch is canceled when its start revision is below the compaction revision; any other cancellation is handled alike.
		if (result.canceled) {
			report({type: 'compacted', revision: Number(result.compact_revision ?? 0)});
			return;
		}

		// The store is behind the requested revision, so it was restored from an older state.
		if (result.created && revision > 0 && revision < fromRevision - 1) {
			report({type: 'restored'});
			return;
		}

		if (result.events.length > 0) {
			const changes: Change[] = result.events.map(({type, kv}) => ({
				key: decode(kv.key), modRevision: Number(kv.mod_revision), ...(type !== 'DELETE' && {value: decode(kv.value)}),
			}));
			report({type: 'changed', changes, revision});
		}
	}
}
