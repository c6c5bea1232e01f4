import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {z} from 'zod';
import {type OrderAnswer, type OrderOutcome, type TaskOutcome} from '@rosemaryquay/core/jobs/state/event';
import {type ListedWorker} from '@rosemaryquay/core/jobs/state/scheduler';
import {readBody} from '../read-body.js';
import {type ListeningServer, startServer} from '../start-server.js';
import {type TaskBehaviour, type TaskObserver, WorkerModel} from './worker-model.js';

/** Injected fault of a worker. */
export type WorkerFault = 'none' | 'silent' | 'loses-answers' | 'unhealthy';

const orderSchema = z.object({
	task: z.string().default(''),
	run: z.number().default(0),
	deadline_ms: z.number().optional(),
	fencing_token: z.number().default(0),
	last_seen: z.number().default(0),
	wait_ms: z.number().default(0),
	percent: z.number().default(100),
});

const orderResponses: Readonly<Partial<Record<OrderOutcome, {readonly status: number; readonly reason?: string}>>> = {
	accepted: {status: 200},
	fenced: {status: 409, reason: 'fence'},
	superseded: {status: 409, reason: 'old'},
	late: {status: 409, reason: 'late'},
	full: {status: 409, reason: 'room'},
};

/** Interval at which a long poll for a report checks for ended tasks. */
const endPollIntervalMs = 5;

/** What the clock of a worker reads when it starts; not 0, which stands for a missing time. */
const clockOffsetMs = 1000;

/** Stand-in for a worker of the job scheduler over HTTP (`/run-start`, `/run-stop`, `/hold`), on real time. */
export class WorkerHttp {
	fault: WorkerFault = 'none';
	readonly #listing: Omit<ListedWorker, 'address'>;
	readonly #getBehaviour: (task: string) => TaskBehaviour;
	readonly #model: WorkerModel;
	readonly #onOrder: (order: {path: string; fence: number; status: number; receivedAt: number}) => void;
	readonly #startedAt: number;
	#server: ListeningServer | undefined;

	constructor(options: {
		listing: Omit<ListedWorker, 'address'>;
		observer: TaskObserver;
		getBehaviour: (task: string) => TaskBehaviour;
		onOrder?: (order: {path: string; fence: number; status: number; receivedAt: number}) => void;
		/** Rate of the worker's own clock, on which its lease is measured; 0.98 is the slowest one that the platform documents. */
		clockRate?: number;
		/** Time for which the worker has been up already, by which its clock is ahead. */
		ageMs?: number;
	}) {
		this.#onOrder = options.onOrder ?? (() => undefined);
		this.#startedAt = Date.now() - (options.ageMs ?? 0);
		this.#listing = options.listing;
		this.#getBehaviour = options.getBehaviour;
		this.#model = new WorkerModel({listing: {...options.listing, address: ''}, observer: options.observer});
		this.#model.clockRate = options.clockRate ?? 1;
	}

	async start(): Promise<void> {
		this.#server = await startServer((request, response) => {
			void this.#serve(request, response);
		});
	}

	async stop(): Promise<void> {
		await this.#server?.close();
	}

	get address(): string {
		return new URL(this.#server?.url ?? '').host;
	}

	/** Time in milliseconds since 1970 at which the times that the observer gets are 0. */
	get clockOriginMs(): number {
		return this.#startedAt - clockOffsetMs;
	}

	/** Ends the runs that are due, which otherwise end with the next request. */
	advance(): void {
		this.#model.advance(this.#now());
	}

	/** Ends all runs without a report. */
	crash(): void {
		this.#model.crash(this.#now());
	}

	/** Returns the entry that the worker writes into the store. */
	describe(state: 'ready' | 'draining' = 'ready', address = this.address): string {
		const {service, availabilityZone, capacity, labels, instance, startedAtMs} = this.#listing;
		return JSON.stringify({
			service, address, zone: availabilityZone, version: 'v1', slots: 8, state, sequence: 1, cold_remaining_ms: 0, born: startedAtMs,
			capacity: {cpu: capacity.cpuMillis, mem_mb: capacity.memoryMb, gpu: capacity.accelerators}, labels, machine: instance, clock_ms: this.#readClock(this.#now()),
		});
	}

	#now(): number {
		return clockOffsetMs + Date.now() - this.#startedAt;
	}

	/** Reading of the worker's monotonic clock, which starts anew with each life, in whole milliseconds. */
	#readClock(now: number): number {
		return Math.floor(now * this.#model.clockRate);
	}

	async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const body = await readBody(request);
		if (this.fault === 'silent') {
			return;
		}

		const answer = await this.#answer(request, body);
		if (this.fault === 'loses-answers') {
			response.destroy();
			return;
		}

		response.writeHead(answer.status, {'content-type': 'application/json'});
		response.end(JSON.stringify(answer.body));
	}

	async #answer(request: IncomingMessage, body: Uint8Array): Promise<{status: number; body: unknown}> {
		if (request.headers['x-expect-instance'] !== this.#listing.id) {
			return {status: 421, body: {}};
		}

		if (this.fault === 'unhealthy') {
			return {status: 503, body: {}};
		}

		const order = orderSchema.parse(JSON.parse(Buffer.from(body).toString('utf8')));
		const path = request.url ?? '';
		const receivedAt = Date.now();
		const answer = await this.#carryOut(path, order);
		this.#onOrder({
			path, fence: order.fencing_token, status: answer.status, receivedAt,
		});
		return answer;
	}

	async #carryOut(path: string, order: z.infer<typeof orderSchema>): Promise<{status: number; body: unknown}> {
		const {task, run, fencing_token: fence, deadline_ms: leaseUntilMs = 0} = order;
		if (path === '/run-start') {
			return this.#encodeOrderAnswer(this.#model.start(this.#now(), {
				fence, task, run, leaseUntilMs, behaviour: this.#getBehaviour(task),
			}));
		}

		if (path === '/run-stop') {
			return this.#encodeOrderAnswer(this.#model.stop(this.#now(), {fence, task, run}));
		}

		return path === '/hold' ? this.#report(order) : {status: 404, body: {}};
	}

	async #report(order: z.infer<typeof orderSchema>): Promise<{status: number; body: unknown}> {
		const {fencing_token: fence, last_seen: storedEnd, deadline_ms: leaseUntilMs} = order;
		const endAt = Date.now() + order.wait_ms;
		// Ends that come while the call waits are new, whatever the number in the call, and the lease is extended once.
		for (let request = {fence, storedEnd, leaseUntilMs}; ; request = {fence, storedEnd: 0, leaseUntilMs: undefined}) {
			const report = this.#model.report(this.#now(), request);
			if (report === 'fenced') {
				return this.#encodeOrderAnswer({outcome: 'fenced'});
			}

			if (report.ended.length > 0 || Date.now() >= endAt) {
				return {
					status: 200,
					body: {
						born: report.startedAtMs,
						clock_ms: Math.floor(report.clockMs),
						running: report.running.map(({task, run, checkpoint, percent, load}) => [task, run, checkpoint, percent, load]),
						finished: report.ended.map(({number, task, run, end, checkpoint}): [number, string, number, TaskOutcome, string] => [number, task, run, end, checkpoint]),
					},
				};
			}

			await new Promise(resolve => {
				setTimeout(resolve, endPollIntervalMs);
			});
		}
	}

	#encodeOrderAnswer({outcome}: OrderAnswer): {status: number; body: unknown} {
		const {status = 400, reason} = orderResponses[outcome] ?? {};
		return {status, body: {clock_ms: this.#readClock(this.#now()), born: this.#listing.startedAtMs, ...(reason !== undefined && {reason})}};
	}
}
