/**
 * HTTP client of the workers, with one connection pool for each worker.
 */
import {Pool} from 'undici';
import {z} from 'zod';
import {type AttemptOutcome} from '@rosemaryquay/core/node/event';
import {clockDriftMarginMs, taskLeaseTtlMs} from '@rosemaryquay/core/constants';
import {sendRequest, type BufferedResponse} from './send-request.js';

/** A complete response of a worker. */
export type WorkerResponse = {
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
	/** Called when the request is being sent, with the function that aborts it. */
	readonly onStart?: (abort: () => void) => void;
	/** Identifier of the checkpointed attempt whose execution this one resumes. */
	readonly resumedAttemptId?: string;
};

export type AttemptResult = {readonly outcome: AttemptOutcome; readonly response?: WorkerResponse};

const attemptHeader = 'rosemaryquay-attempt';

/** Codes of errors after which the request cannot have reached the worker. */
const unsentErrorCodes = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH']);

const usageTimeoutMs = 1000;

const usageSchema = z.object({runningSlots: z.int().min(0)});

const notRunCauses = new Set<string>(['slots-full', 'leaving', 'lease-lapsed', 'duplicate', 'checkpoint-unknown']);

function classifyError(error: unknown): AttemptOutcome {
	const code = error instanceof Error && 'code' in error ? String(error.code) : '';
	if (unsentErrorCodes.has(code)) {
		return {type: 'not-started', cause: 'connection-refused'};
	}

	return {type: 'lost', cause: error instanceof Error && error.name.endsWith('TimeoutError') ? 'timeout' : 'connection-lost'};
}

function classifyResponse(response: BufferedResponse, attemptId: string): AttemptResult {
	const {status, headers, body} = response;
	const cause = headers['rosemaryquay-not-run'];
	if (typeof cause === 'string' && notRunCauses.has(cause)) {
		// The type of the causes has no name; the assertion stands for any of `notRunCauses`.
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
	return {outcome: {type: 'succeeded'}, response: {status, contentType: typeof type === 'string' ? type : 'application/octet-stream', body}};
}

export class WorkerClient {
	readonly #leaseTtlHeader = String(taskLeaseTtlMs);
	/** Identifier of this process as the holder of the task leases at the workers. */
	readonly #holder: string;
	readonly #connections: number;
	readonly #maximumResponseBytes: number;
	readonly #pools = new Map<string, Pool>();
	/**
	 * Time on the monotonic clock until which the task lease at a worker lasts, provided that the last request that renews it
	 * reached the worker; by address. 0 after a refusal for a lapsed lease, so that it is renewed before the next attempt.
	 */
	readonly #leaseValidUntil = new Map<string, number>();

	constructor(options: {holder: string; connections?: number; maximumResponseBytes?: number}) {
		const {holder, connections = 64, maximumResponseBytes = 8 * 1024 * 1024} = options;
		this.#holder = holder;
		this.#connections = connections;
		this.#maximumResponseBytes = maximumResponseBytes;
	}

	/** Runs an attempt at a worker and resolves to its outcome; a task lease that may have lapsed is renewed first. */
	async runAttempt(request: AttemptRequest): Promise<AttemptResult> {
		const {attemptId, address, contentType, body, timeoutMs, onStart, resumedAttemptId} = request;
		try {
			const leaseValidUntil = this.#leaseValidUntil.get(address);
			if (leaseValidUntil !== undefined && performance.now() >= leaseValidUntil) {
				await this.renewTaskLease(address);
			}

			this.#noteLeaseRenewal(address, performance.now());
			const response = await sendRequest(this.#getPool(address), {
				path: '/tasks',
				method: 'POST',
				headers: {
					'content-type': contentType,
					[attemptHeader]: attemptId,
					'rosemaryquay-holder': this.#holder,
					'rosemaryquay-lease-ms': this.#leaseTtlHeader,
					...(resumedAttemptId !== undefined && {'rosemaryquay-resume': resumedAttemptId}),
				},
				body,
				headersTimeout: timeoutMs,
				bodyTimeout: timeoutMs,
			}, {bodyBytes: this.#maximumResponseBytes, ...(onStart !== undefined && {onStart})});
			if (response.headers['rosemaryquay-not-run'] === 'lease-lapsed') {
				this.#leaseValidUntil.set(address, 0);
			}

			return classifyResponse(response, attemptId);
		} catch (error) {
			return {outcome: classifyError(error)};
		}
	}

	async cancel(address: string, attemptId: string): Promise<void> {
		try {
			const response = await this.#getPool(address).request({path: `/tasks/${attemptId}`, method: 'DELETE'});
			await response.body.dump();
		} catch {
			// When the cancellation is lost, the task runs on until it ends or until the lease of this holder at the worker lapses.
		}
	}

	/** Asks a worker to save the progress of a task and end its attempt; returns whether the worker accepted. */
	async checkpoint(address: string, attemptId: string): Promise<boolean> {
		return this.#postControlRequest(address, `/tasks/${attemptId}/checkpoint`);
	}

	/** Asks a worker to throttle a task for a limited time; returns whether the worker accepted. */
	async throttle(address: string, attemptId: string, durationMs: number): Promise<boolean> {
		return this.#postControlRequest(address, `/tasks/${attemptId}/throttle`, {'rosemaryquay-throttle-ms': String(durationMs)});
	}

	/** Renews the task lease of this holder at a worker, which covers all its tasks there; returns whether it was renewed. */
	async renewTaskLease(address: string): Promise<boolean> {
		try {
			const sentAt = performance.now();
			const response = await this.#getPool(address).request({
				path: `/leases/${this.#holder}`,
				method: 'PUT',
				headers: {'rosemaryquay-lease-ms': String(taskLeaseTtlMs)},
				headersTimeout: taskLeaseTtlMs / 2,
			});
			await response.body.dump();
			if (response.statusCode !== 204) {
				return false;
			}

			this.#noteLeaseRenewal(address, sentAt);
			return true;
		} catch {
			return false;
		}
	}

	/** Reads the number of slots in use at a worker; `undefined` when there is no valid response. */
	async readUsage(address: string): Promise<number | undefined> {
		try {
			const response = await this.#getPool(address).request({
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

	async #postControlRequest(address: string, path: string, headers: Record<string, string> = {}): Promise<boolean> {
		try {
			const response = await this.#getPool(address).request({path, method: 'POST', headers});
			await response.body.dump();
			return response.statusCode === 204;
		} catch {
			// Without an answer it is unknown whether the worker accepted; the reducer repeats the request if it is still needed.
			return false;
		}
	}

	/** Notes that a request renews the lease. The lease counts from the time when the request was sent, less a margin for clock drift between the processes. */
	#noteLeaseRenewal(address: string, sentAt: number): void {
		this.#leaseValidUntil.set(address, Math.max(this.#leaseValidUntil.get(address) ?? 0, sentAt + taskLeaseTtlMs - clockDriftMarginMs));
	}

	#getPool(address: string): Pool {
		let pool = this.#pools.get(address);
		if (pool === undefined) {
			pool = new Pool(address, {connections: this.#connections, maxResponseSize: this.#maximumResponseBytes});
			this.#pools.set(address, pool);
		}

		return pool;
	}
}
