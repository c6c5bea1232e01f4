/**
 * Stand-in for a worker: runs tasks under leases in a fixed number of slots, with fault switches.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {readBody} from './read-body.js';
import {startServer, type ListeningServer} from './start-server.js';

/** Faults, switched at any time. */
export type WorkerFaults = {
	/** Every task fails with status 500. */
	failAll: boolean;
	/** The connection is closed after the task has run. */
	loseAnswers: boolean;
	/** Answers are cut short. */
	truncateAnswers: boolean;
	/** Answers carry the identifier of another attempt. */
	swapAnswers: boolean;
	/** New tasks are refused because the worker is leaving. */
	leaving: boolean;
};

/** Header names of the worker protocol. */
const attemptHeader = 'rosemaryquay-attempt';
const holderHeader = 'rosemaryquay-holder';
const leaseHeader = 'rosemaryquay-lease-ms';

type RunningTask = {readonly holder: string; readonly abort: AbortController};

const leaseCheckIntervalMs = 200;

export class WorkerServer {
	readonly faults: WorkerFaults = {
		failAll: false, loseAnswers: false, truncateAnswers: false, swapAnswers: false, leaving: false,
	};

	/** Identifiers of all attempts that ran, in order. */
	readonly started: string[] = [];
	readonly #slots: number;
	readonly #serviceTimeMs: number;
	readonly #seen = new Set<string>();
	readonly #running = new Map<string, RunningTask>();
	/** End of the lease of each holder; a lapsed holder starts nothing until it renews. */
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
			const [, section = '', id = ''] = (request.url ?? '').split('/');
			if (request.method === 'POST' && section === 'tasks') {
				await this.#run(request, body, response);
			} else if (request.method === 'DELETE' && section === 'tasks') {
				this.#running.get(id)?.abort.abort();
				response.writeHead(204).end();
			} else if (request.method === 'PUT' && section === 'leases') {
				this.#renew(id, Number(request.headers[leaseHeader]));
				response.writeHead(204).end();
			} else if (request.method === 'GET' && section === 'usage') {
				response.writeHead(200, {'content-type': 'application/json'}).end(JSON.stringify({runningSlots: this.#running.size}));
			} else {
				response.writeHead(404).end();
			}
		} catch {
			response.destroy();
		}
	}

	#refusalOf(attempt: string, holder: string): string | undefined {
		if ((this.#leases.get(holder) ?? Number.POSITIVE_INFINITY) <= performance.now()) {
			return 'lease-lapsed';
		}

		if (this.#seen.has(attempt)) {
			return 'duplicate';
		}

		if (this.faults.leaving) {
			return 'leaving';
		}

		return this.#running.size >= this.#slots ? 'slots-full' : undefined;
	}

	async #run(request: IncomingMessage, body: Uint8Array, response: ServerResponse): Promise<void> {
		const attempt = String(request.headers[attemptHeader]);
		const holder = String(request.headers[holderHeader]);
		const refusal = this.#refusalOf(attempt, holder);
		if (refusal !== undefined) {
			response.writeHead(503, {'rosemaryquay-not-run': refusal}).end();
			return;
		}

		const task = {
			holder,
			abort: new AbortController(),
		};
		this.#renew(holder, Number(request.headers[leaseHeader]));
		this.#seen.add(attempt);
		this.started.push(attempt);
		this.#running.set(attempt, task);
		try {
			if (this.#serviceTimeMs > 0) {
				await delay(this.#serviceTimeMs, undefined, {signal: task.abort.signal});
			}
		} finally {
			this.#running.delete(attempt);
		}

		this.#answer(request, body, response);
	}

	#answer(request: IncomingMessage, body: Uint8Array, response: ServerResponse): void {
		const attempt = this.faults.swapAnswers ? 'another-attempt' : String(request.headers[attemptHeader]);
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
	}
}
