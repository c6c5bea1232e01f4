/**
 * Sends tasks to workers over HTTP, one connection pool for each worker.
 */
import {Pool} from 'undici';
import {z} from 'zod';
import {type AttemptOutcome} from '@rosemaryquay/core/node/event';
import {clockDriftMarginMs, taskLeaseTtlMs} from '@rosemaryquay/core/constants';
import {sendRequest, type WholeResponse} from './send-request.js';

/** A whole answer of a worker. */
export type Answer = {
	readonly status: number;
	readonly contentType: string;
	readonly body: Uint8Array;
};

export type AttemptRequest = {
	readonly attemptId: string;
	readonly address: string;
	readonly contentType: string;
	readonly body: Uint8Array;
	readonly timeoutMs: number;
	/** Receives the function that aborts the request once it is on its way. */
	readonly onStart?: (abort: () => void) => void;
	/** Checkpointed attempt whose execution this one resumes. */
	readonly resumes?: string;
};

export type AttemptResult = {readonly outcome: AttemptOutcome; readonly answer?: Answer};

const attemptHeader = 'rosemaryquay-attempt';

/** Errors of requests that cannot have reached the worker. */
const unsentCodes = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH']);

const usageTimeoutMs = 1000;

const usageSchema = z.object({runningSlots: z.int().min(0)});

const notRunCauses = new Set<string>(['slots-full', 'leaving', 'lease-lapsed', 'duplicate', 'checkpoint-unknown']);

function outcomeOfError(error: unknown): AttemptOutcome {
	const code = error instanceof Error && 'code' in error ? String(error.code) : '';
	if (unsentCodes.has(code)) {
		return {type: 'not-started', cause: 'connection-refused'};
	}

	return {type: 'lost', cause: error instanceof Error && error.name.endsWith('TimeoutError') ? 'timeout' : 'connection-lost'};
}

function readAnswer(response: WholeResponse, attemptId: string): AttemptResult {
	const {status, headers, body} = response;
	const cause = headers['rosemaryquay-not-run'];
	if (typeof cause === 'string' && notRunCauses.has(cause)) {
		return {outcome: {type: 'not-started', cause: cause as 'slots-full'}};
	}

	if (headers[attemptHeader] !== attemptId) {
		return {outcome: {type: 'lost', cause: 'answer-mismatched'}};
	}

	if (headers['rosemaryquay-checkpointed'] !== undefined) {
		return {outcome: {type: 'checkpointed'}};
	}

	if (status >= 400) {
		return {outcome: {type: 'failed', status}};
	}

	const type = headers['content-type'];
	return {outcome: {type: 'succeeded'}, answer: {status, contentType: typeof type === 'string' ? type : 'application/octet-stream', body}};
}

export class WorkerClient {
	readonly #leaseMs = String(taskLeaseTtlMs);
	readonly #holder: string;
	readonly #connections: number;
	readonly #answerBytes: number;
	readonly #pools = new Map<string, Pool>();
	/** Time until which the lease at each worker is known to hold, on the monotonic clock. */
	readonly #leases = new Map<string, number>();

	constructor(options: {holder: string; connections?: number; answerBytes?: number}) {
		const {holder, connections = 64, answerBytes = 8 * 1024 * 1024} = options;
		this.#holder = holder;
		this.#connections = connections;
		this.#answerBytes = answerBytes;
	}

	async start(request: AttemptRequest): Promise<AttemptResult> {
		const {attemptId, address, contentType, body, timeoutMs, onStart, resumes} = request;
		try {
			const validUntil = this.#leases.get(address);
			if (validUntil !== undefined && performance.now() >= validUntil) {
				await this.renewLease(address);
			}

			this.#extendLease(address, performance.now());
			const response = await sendRequest(this.#pool(address), {
				path: '/tasks',
				method: 'POST',
				headers: {
					'content-type': contentType,
					[attemptHeader]: attemptId,
					'rosemaryquay-holder': this.#holder,
					'rosemaryquay-lease-ms': this.#leaseMs,
					...(resumes !== undefined && {'rosemaryquay-resume': resumes}),
				},
				body,
				headersTimeout: timeoutMs,
				bodyTimeout: timeoutMs,
			}, {bodyBytes: this.#answerBytes, ...(onStart !== undefined && {onStart})});
			if (response.headers['rosemaryquay-not-run'] === 'lease-lapsed') {
				this.#leases.set(address, 0);
			}

			return readAnswer(response, attemptId);
		} catch (error) {
			return {outcome: outcomeOfError(error)};
		}
	}

	async cancel(address: string, attemptId: string): Promise<void> {
		try {
			const response = await this.#pool(address).request({path: `/tasks/${attemptId}`, method: 'DELETE'});
			await response.body.dump();
		} catch {
			// The task's lease lapses at the worker when the cancellation is lost.
		}
	}

	/** Asks a worker to save a task's progress and to end its attempt. */
	async checkpoint(address: string, attemptId: string): Promise<boolean> {
		return this.#control(address, `/tasks/${attemptId}/checkpoint`);
	}

	/** Asks a worker to slow a task down for a time. */
	async throttle(address: string, attemptId: string, durationMs: number): Promise<boolean> {
		return this.#control(address, `/tasks/${attemptId}/throttle`, {'rosemaryquay-throttle-ms': String(durationMs)});
	}

	/** Renews the leases of all tasks of this holder at a worker. */
	async renewLease(address: string): Promise<boolean> {
		try {
			const sentAt = performance.now();
			const response = await this.#pool(address).request({
				path: `/leases/${this.#holder}`,
				method: 'PUT',
				headers: {'rosemaryquay-lease-ms': String(taskLeaseTtlMs)},
				headersTimeout: taskLeaseTtlMs / 2,
			});
			await response.body.dump();
			if (response.statusCode !== 204) {
				return false;
			}

			this.#extendLease(address, sentAt);
			return true;
		} catch {
			return false;
		}
	}

	/** Reads the slots in use at a worker; `undefined` when it does not answer. */
	async readUsage(address: string): Promise<number | undefined> {
		try {
			const response = await this.#pool(address).request({
				path: '/usage', method: 'GET', headersTimeout: usageTimeoutMs, bodyTimeout: usageTimeoutMs,
			});
			const parsed = usageSchema.safeParse(await response.body.json());
			return parsed.success ? parsed.data.runningSlots : undefined;
		} catch {
			return undefined;
		}
	}

	async close(): Promise<void> {
		await Promise.all([...this.#pools.values()].map(async pool => pool.destroy()));
	}

	async #control(address: string, path: string, headers: Record<string, string> = {}): Promise<boolean> {
		try {
			const response = await this.#pool(address).request({path, method: 'POST', headers});
			await response.body.dump();
			return response.statusCode === 204;
		} catch {
			// The attempt goes on as it was; the reducer asks again.
			return false;
		}
	}

	/** The lease counts from the time of sending, less the drift between the two clocks. */
	#extendLease(address: string, sentAt: number): void {
		this.#leases.set(address, Math.max(this.#leases.get(address) ?? 0, sentAt + taskLeaseTtlMs - clockDriftMarginMs));
	}

	#pool(address: string): Pool {
		let pool = this.#pools.get(address);
		if (pool === undefined) {
			pool = new Pool(address, {connections: this.#connections, maxResponseSize: this.#answerBytes});
			this.#pools.set(address, pool);
		}

		return pool;
	}
}
