/**
 * Stand-in for a worker of the request path (`/tasks`, `/leases`): runs tasks under leases in a fixed number of slots, with fault injection.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {readBody} from './read-body.js';
import {startServer, type ListeningServer} from './start-server.js';

/** Injected faults, which may be changed at any time. */
export type WorkerFaults = {
	/** Every task fails with status 500. */
	failAll: boolean;
	/** The connection is closed after the task has run. */
	loseAnswers: boolean;
	/** The body of each answer is truncated. */
	truncateAnswers: boolean;
	/** Answers carry the identifier of another attempt. */
	mismatchAnswers: boolean;
	/** New tasks are refused because the worker is leaving. */
	leaving: boolean;
};

/** Header names of the worker protocol. */
const attemptHeader = 'rosemaryquay-attempt';
const holderHeader = 'rosemaryquay-holder';
const leaseHeader = 'rosemaryquay-lease-ms';
const resumeHeader = 'rosemaryquay-resume';
const throttleHeader = 'rosemaryquay-throttle-ms';

type RunningTask = {
	readonly holder: string;
	readonly abort: AbortController;
	remainingMs: number;
	throttledUntil: number;
	checkpointed: boolean;
};

/** Progress of a checkpointed task, dropped when its holder's lease lapses. */
type Checkpoint = {readonly holder: string; readonly remainingMs: number};

const throttledSpeed = 0.25;

/** Interval at which a running task checks whether it is throttled. */
const maximumSliceMs = 50;

const leaseCheckIntervalMs = 200;

export class WorkerServer {
	readonly faults: WorkerFaults = {
		failAll: false, loseAnswers: false, truncateAnswers: false, mismatchAnswers: false, leaving: false,
	};

	/** Identifiers of all attempts that were started, in order. */
	readonly started: string[] = [];
	readonly #slots: number;
	readonly #serviceTimeMs: number;
	readonly #knownAttempts = new Set<string>();
	readonly #running = new Map<string, RunningTask>();
	readonly #checkpoints = new Map<string, Checkpoint>();
	/** Expiry of the lease of each holder; a holder whose lease has lapsed starts no tasks until it renews the lease. */
	readonly #leases = new Map<string, number>();
	#server: ListeningServer | undefined;
	#timer: NodeJS.Timeout | undefined;

	constructor(options: {slots?: number; serviceTimeMs?: number} = {}) {
		this.#slots = options.slots ?? 8;
		this.#serviceTimeMs = options.serviceTimeMs ?? 0;
	}

	get address(): string {
		return this.#server?.url ?? '';
	}

	async start(options: {port?: number} = {}): Promise<void> {
		this.#server = await startServer((request, response) => {
			void this.#handle(request, response);
		}, options);
		this.#timer = setInterval(() => {
			this.#expireLeases();
		}, leaseCheckIntervalMs);
	}

	async stop(): Promise<void> {
		clearInterval(this.#timer);
		await this.#server?.close();
	}

	async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		try {
			const body = await readBody(request);
			const [, section = '', id = '', action = ''] = (request.url ?? '').split('/');
			if (request.method === 'POST' && section === 'tasks' && action !== '') {
				response.writeHead(this.#control(id, action, request) ? 204 : 404).end();
			} else if (request.method === 'POST' && section === 'tasks') {
				await this.#run(request, body, response);
			} else if (request.method === 'DELETE' && section === 'tasks') {
				this.#running.get(id)?.abort.abort();
				response.writeHead(204).end();
			} else if (request.method === 'PUT' && section === 'leases') {
				this.#renew(id, Number(request.headers[leaseHeader]));
				response.writeHead(204).end();
			} else if (request.method === 'GET' && section === 'usage') {
				response.writeHead(200, {'content-type': 'application/json'}).end(JSON.stringify({runningSlots: this.#occupiedSlots()}));
			} else {
				response.writeHead(404).end();
			}
		} catch {
			response.destroy();
		}
	}

	/** Throttles or checkpoints a running task; returns false if the task is not running. */
	#control(attempt: string, action: string, request: IncomingMessage): boolean {
		const task = this.#running.get(attempt);
		if (task === undefined) {
			return false;
		}

		if (action === 'throttle') {
			task.throttledUntil = performance.now() + Number(request.headers[throttleHeader]);
		} else if (action === 'checkpoint') {
			task.checkpointed = true;
			task.abort.abort();
		}

		return true;
	}

	#occupiedSlots(): number {
		const now = performance.now();
		let occupied = 0;
		for (const task of this.#running.values()) {
			occupied += task.throttledUntil > now ? 0 : 1;
		}

		return occupied;
	}

	#findRefusalReason(attempt: string, holder: string, resumedAttempt: string): string | undefined {
		if ((this.#leases.get(holder) ?? Number.POSITIVE_INFINITY) <= performance.now()) {
			return 'lease-lapsed';
		}

		if (this.#knownAttempts.has(attempt)) {
			return 'duplicate';
		}

		if (this.faults.leaving) {
			return 'leaving';
		}

		if (this.#occupiedSlots() >= this.#slots) {
			return 'slots-full';
		}

		return resumedAttempt === '' || this.#checkpoints.has(resumedAttempt) ? undefined : 'checkpoint-unknown';
	}

	async #run(request: IncomingMessage, body: Uint8Array, response: ServerResponse): Promise<void> {
		const attempt = String(request.headers[attemptHeader]);
		const holder = String(request.headers[holderHeader]);
		const resumedAttempt = String(request.headers[resumeHeader] ?? '');
		const refusal = this.#findRefusalReason(attempt, holder, resumedAttempt);
		if (refusal !== undefined) {
			response.writeHead(503, {'rosemaryquay-not-run': refusal}).end();
			return;
		}

		const task: RunningTask = {
			holder,
			abort: new AbortController(),
			remainingMs: this.#checkpoints.get(resumedAttempt)?.remainingMs ?? this.#serviceTimeMs,
			throttledUntil: 0,
			checkpointed: false,
		};
		this.#checkpoints.delete(resumedAttempt);
		this.#renew(holder, Number(request.headers[leaseHeader]));
		this.#knownAttempts.add(attempt);
		this.started.push(attempt);
		this.#running.set(attempt, task);
		try {
			await this.#execute(task);
		} finally {
			this.#running.delete(attempt);
		}

		if (task.checkpointed) {
			const {remainingMs} = task;
			this.#checkpoints.set(attempt, {holder, remainingMs});
			response.writeHead(202, {[attemptHeader]: attempt, 'rosemaryquay-checkpointed': 'yes'}).end();
			return;
		}

		this.#answer(request, body, response);
	}

	async #execute(task: RunningTask): Promise<void> {
		while (task.remainingMs > 0 && !task.checkpointed) {
			const sliceStartedAt = performance.now();
			const speed = task.throttledUntil > sliceStartedAt ? throttledSpeed : 1;
			try {
				await delay(Math.min(task.remainingMs / speed, maximumSliceMs), undefined, {signal: task.abort.signal});
			} catch (error) {
				if (!task.checkpointed) {
					throw error;
				}
			}

			task.remainingMs -= (performance.now() - sliceStartedAt) * speed;
		}
	}

	#answer(request: IncomingMessage, body: Uint8Array, response: ServerResponse): void {
		const attempt = this.faults.mismatchAnswers ? 'another-attempt' : String(request.headers[attemptHeader]);
		if (this.faults.loseAnswers) {
			response.destroy();
			return;
		}

		if (this.faults.failAll) {
			response.writeHead(500, {[attemptHeader]: attempt}).end();
			return;
		}

		response.writeHead(200, {
			'content-type': request.headers['content-type'] ?? 'application/octet-stream',
			'content-length': body.length,
			[attemptHeader]: attempt,
		});
		if (this.faults.truncateAnswers) {
			response.write(body.subarray(0, Math.floor(body.length / 2)));
			response.destroy();
			return;
		}

		response.end(body);
	}

	#renew(holder: string, ttlMs: number): void {
		this.#leases.set(holder, performance.now() + ttlMs);
	}

	#expireLeases(): void {
		const now = performance.now();
		for (const task of this.#running.values()) {
			if ((this.#leases.get(task.holder) ?? 0) <= now) {
				task.abort.abort();
			}
		}

		for (const [attempt, checkpoint] of this.#checkpoints) {
			if ((this.#leases.get(checkpoint.holder) ?? 0) <= now) {
				this.#checkpoints.delete(attempt);
			}
		}
	}
}
