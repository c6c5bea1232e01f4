/* eslint-disable camelcase -- the fields of the platform are in snake case */
/**
 * Stand-in for a worker. The text `spec` of a job says how long its tasks take, for example `{"ms":4000}`; a task that lasts
 * has `{"lasts":true}`.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {Proxy} from './proxy.js';

/** Time until a task that lasts is at work. */
export const startupMs = 300;
const stopTakesMs = 100;
const checkIntervalMs = 10;
/** What the worker's clock reads at its start. */
const clockOffsetMs = 1000;

export class Worker {
	id;
	machine;
	isUp = false;
	/** While true, the worker's reports do not reach the store. */
	isCutFromStore = false;
	/** Delay in milliseconds after which the calls on `latePaths` are carried out, without an answer, by whichever life of the worker is up then. */
	lateMs = 0;
	latePaths = [];
	bornMs = 0;
	lastReportAt = 0;
	running = new Map();
	#options;
	#port = 0;
	#server;
	#timer;
	#beat;
	#fence = 0;
	#leaseEndsAt = 0;
	#ended = [];
	#endNumber = 0;
	#highestEnded = new Map();
	#sequence = 0;

	/**
	 * @param {{id: string, machine: string, service: string, zone: string, rack: string, cpu: number, memoryMb: number, heartbeatMs: number, holdMaxMs: number, store: import('./store.js').Store, record: (event: string, fields: object) => void}} options - what the worker is and whom it reports to
	 */
	constructor(options) {
		this.#options = options;
		this.id = options.id;
		this.machine = options.machine;
	}

	get address() {
		return this.proxy?.address ?? `127.0.0.1:${this.#port}`;
	}

	/** Puts a proxy in front of the worker, which is its address from then on. */
	async addProxy() {
		this.proxy = new Proxy({
			getPort: () => this.#port, record: (event, fields) => {
				this.#options.record(event, {worker: this.id, ...fields});
			},
		});
		await this.proxy.start();
	}

	get clockMs() {
		return Date.now() - this.bornMs + clockOffsetMs;
	}

	/** Starts a life of the worker, which knows nothing of an earlier one. */
	async start() {
		this.bornMs = Date.now();
		this.running = new Map();
		this.#fence = 0;
		this.#leaseEndsAt = 0;
		this.#ended = [];
		this.#endNumber = 0;
		this.#highestEnded = new Map();
		this.#sequence = 0;
		this.#server = createServer((request, response) => {
			this.#serve(request, response); // Answers on its own.
		});
		await new Promise(resolve => {
			this.#server.listen(this.#port, '127.0.0.1', resolve);
		});
		this.#port = this.#server.address().port;
		this.isUp = true;
		this.#options.record('worker-up', {worker: this.id, born: this.bornMs});
		this.#timer = setInterval(() => {
			this.#advance();
		}, checkIntervalMs);
		this.report();
		this.#beat = setInterval(() => {
			this.report();
		}, this.#options.heartbeatMs);
	}

	/** Ends the life of the worker at once; everything that runs on it ends without a report. */
	crash(reason = 'crash') {
		if (!this.isUp) {
			return;
		}

		this.isUp = false;
		clearInterval(this.#timer);
		clearInterval(this.#beat);
		this.#options.record('worker-down', {worker: this.id, reason, lost: [...this.running.values()].map(({task, run}) => [task, run])});
		this.running = new Map();
		this.#server.closeAllConnections();
		this.#server.close();
	}

	/** Writes the worker's entry into the store, if that serves and is reached. */
	report() {
		const {store, service, zone, rack, cpu, memoryMb} = this.#options;
		if (store.fault !== 'none' || this.isCutFromStore) {
			return;
		}

		this.#sequence++;
		store.put(`servers/${this.id}`, {
			service, address: this.address, zone, version: 'v1', slots: 8, state: 'ready', cold_remaining_ms: 0, sequence: this.#sequence, born: this.bornMs,
			capacity: {cpu, mem_mb: memoryMb, gpu: 0}, labels: ['a', rack], machine: this.machine, clock_ms: this.clockMs,
		});
		this.lastReportAt = Date.now();
	}

	#advance() {
		const now = Date.now();
		if (this.running.size > 0 && this.clockMs > this.#leaseEndsAt) {
			for (const run of this.running.values()) {
				this.#end(run, 'lapsed');
			}
		}

		for (const run of this.running.values()) {
			if (run.stopAt !== undefined && now >= run.stopAt) {
				this.#end(run, 'stopped');
			} else if (!run.lasts && now - run.startedAt >= run.ms) {
				this.#end(run, 'done');
			}
		}
	}

	#end(run, how) {
		this.running.delete(run.task);
		this.#endNumber++;
		this.#highestEnded.set(run.task, Math.max(this.#highestEnded.get(run.task) ?? 0, run.run));
		this.#ended.push([this.#endNumber, run.task, run.run, how, '']);
		this.#options.record('run-ended', {
			worker: this.id, task: run.task, run: run.run, how,
		});
	}

	async #serve(request, response) {
		const chunks = [];
		for await (const chunk of request) {
			chunks.push(chunk);
		}

		const order = JSON.parse(Buffer.concat(chunks).toString('utf8'));
		if (this.lateMs > 0 && this.latePaths.includes(request.url)) {
			this.#carryOutLate(request, order);
			return;
		}

		const {bornMs} = this;
		const {status, body} = await this.#answer(request, order);
		if (!this.isUp || bornMs !== this.bornMs) {
			return;
		}

		response.writeHead(status, {'content-type': 'application/json'});
		response.end(JSON.stringify({...body, born: this.bornMs, clock_ms: this.clockMs}));
	}

	#carryOutLate({headers, url}, order) {
		const {task, run} = order;
		this.#options.record('call-delayed', {
			worker: this.id, url, task, run,
		});
		setTimeout(async () => {
			const {status, body: {reason}} = this.isUp ? await this.#answer({headers, url}, order) : {status: 0, body: {}};
			this.#options.record('call-carried-out-late', {
				worker: this.id, url, task, run, isUp: this.isUp, status, reason,
			});
		}, this.lateMs);
	}

	async #answer({headers, url}, order) {
		if (headers['x-expect-instance'] !== this.id) {
			return {status: 421, body: {}};
		}

		const {fencing_token: fence = 0, deadline_ms: deadlineMs} = order;
		if (fence < this.#fence) {
			return {status: 409, body: {reason: 'fence'}};
		}

		this.#fence = fence;
		if (deadlineMs !== undefined && (this.running.size > 0 || url !== '/hold' || deadlineMs > this.clockMs)) {
			this.#leaseEndsAt = Math.max(this.#leaseEndsAt, Math.min(deadlineMs, this.clockMs + this.#options.holdMaxMs));
		}

		const handlers = {
			'/run-start': () => this.#startRun(order),
			'/run-stop': () => this.#stopRun(order),
			'/pace': () => ({status: 200, body: {}}),
			'/hold': async () => this.#hold(order),
		};
		return handlers[url]?.() ?? {status: 404, body: {}};
	}

	#startRun({task, run, spec, deadline_ms: deadlineMs, cpu = 0}) {
		const present = this.running.get(task);
		if (present?.run === run) {
			return {status: 200, body: {}};
		}

		if (present !== undefined || run <= (this.#highestEnded.get(task) ?? 0)) {
			return {status: 409, body: {reason: 'old'}};
		}

		if (deadlineMs <= this.clockMs) {
			return {status: 409, body: {reason: 'late'}};
		}

		const {ms = 500, lasts = false} = JSON.parse(spec);
		this.running.set(task, {
			task, run, ms, lasts, cpu, startedAt: Date.now(), stopAt: undefined,
		});
		this.#options.record('run-started', {worker: this.id, task, run});
		return {status: 200, body: {}};
	}

	#stopRun({task, run}) {
		const present = this.running.get(task);
		this.#options.record('stop-ordered', {worker: this.id, task, run});
		if (present?.run === run) {
			present.stopAt ??= Date.now() + stopTakesMs;
		} else {
			this.#highestEnded.set(task, Math.max(this.#highestEnded.get(task) ?? 0, run));
		}

		return {status: 200, body: {}};
	}

	async #hold({last_seen: lastSeen = 0, wait_ms: waitMs = 0}) {
		for (const [number, task, run, how] of this.#ended) {
			if (number <= lastSeen) {
				this.#options.record('end-noted', {
					worker: this.id, task, run, how,
				});
			}
		}

		this.#ended = this.#ended.filter(([number]) => number > lastSeen);
		const until = Date.now() + waitMs;
		while (this.#ended.length === 0 && Date.now() < until && this.isUp) {
			await new Promise(resolve => {
				setTimeout(resolve, checkIntervalMs);
			});
		}

		return {
			status: 200,
			body: {
				running: [...this.running.values()].map(({task, run, startedAt, ms, lasts}) => [task, run, '', measurePercent(startedAt, lasts ? startupMs : ms), 0]),
				finished: this.#ended.slice(0, 500),
			},
		};
	}
}

function measurePercent(startedAt, ms) {
	return Math.min(100, Math.floor(100 * (Date.now() - startedAt) / ms));
}
