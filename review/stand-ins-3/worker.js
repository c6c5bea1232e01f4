/* eslint-disable camelcase -- the platform's names */
/**
 * Stand-in for a worker over HTTP: leases, fencing tokens, run numbers and numbered ends as the platform's pages describe
 * them. `spec` of a job holds the run time of its tasks in milliseconds, or `lasts`.
 */
import {performance} from 'node:perf_hooks';
import {listenOn, readJson, sendJson} from './http.js';

const heartbeatMs = 1500;
const longestLeaseMs = 10_000;
/** Time that a worker takes to stop a run; the pages allow `stop_ms`, which is 900 in the settings of the deployments. */
const stopMs = 700;
const endCheckMs = 5;
const startupMs = 500;
const firstClockMs = 1000;
const maximumReportedEnds = 500;

/** Progress of a run; a task that lasts is at work after a short startup. */
function measurePercent(elapsedMs, durationMs) {
	return durationMs === Number.POSITIVE_INFINITY ? Math.min(100, Math.floor(100 * elapsedMs / startupMs)) : Math.min(99, Math.floor(100 * elapsedMs / durationMs));
}

export class Worker {
	/** Cut off from all processes of the system: calls don't arrive, and the worker runs on. */
	isCut = false;
	id;
	service;
	machine;
	#options;
	#server;
	#port = 0;
	#timers = [];
	#expiry;
	#sequence = 0;
	#state = 'ready';
	#life;

	/**
	 * @param options - `store`, `record(event)`, `machine`, `zone`, `rack`, `capacity`, `enforcesCapacity`
	 */
	constructor(options) {
		this.#options = options;
		this.machine = options.machine;
	}

	get isUp() {
		return this.#server !== undefined;
	}

	/** Tasks that run, as rows of task and run. */
	get running() {
		return [...(this.#life?.runs.values() ?? [])].map(({task, run}) => [task, run]);
	}

	/** Starts a life of the worker under an id; the address stays the same. */
	async start({id, service}) {
		this.id = id;
		this.service = service;
		this.#state = 'ready';
		this.#sequence = 0;
		this.#life = {
			born: Date.now(), startedAt: performance.now(), fence: 0, leaseUntil: 0, runs: new Map(), endedRuns: new Map(), finished: [], lastNumber: 0,
		};
		this.#server = await listenOn(async (request, response) => {
			await this.#serve(request, response, this.#life);
		}, this.#port);
		this.#port = this.#server.port;
		this.#beat();
		this.#timers = [setInterval(() => {
			this.#beat();
		}, heartbeatMs), setInterval(() => {
			this.#advance();
		}, endCheckMs)];
	}

	/** Ends the life of the worker without a word: its runs end, its connections are reset, and its entry expires. */
	async crash() {
		const {runs} = this.#life;
		for (const {task, run} of runs.values()) {
			this.#record('lost', {task, run});
		}

		this.#life = undefined;
		this.#stopTimers();
		const server = this.#server;
		this.#server = undefined;
		await server.stop();
	}

	/** Ends the life of the worker and removes its entry, as after a move or an upkeep of its machine. */
	async leave() {
		const {id} = this;
		await this.crash();
		clearTimeout(this.#expiry);
		this.#options.store.remove(`servers/${id}`);
	}

	/** Stops all timers of the stand-in. */
	async stop() {
		this.#stopTimers();
		clearTimeout(this.#expiry);
		await this.#server?.stop();
	}

	#stopTimers() {
		for (const timer of this.#timers) {
			clearInterval(timer);
		}
	}

	#record(type, fields) {
		this.#options.record({type, worker: this.id, ...fields});
	}

	#beat() {
		const {store, zone, rack, capacity, machine} = this.#options;
		const {id} = this;
		this.#sequence++;
		store.put(`servers/${id}`, JSON.stringify({
			service: this.service,
			address: this.#server.address,
			zone,
			version: 'v1',
			slots: 8,
			state: this.#state,
			cold_remaining_ms: 0,
			sequence: this.#sequence,
			born: this.#life.born,
			clock_ms: this.#readClock(this.#life),
			capacity,
			labels: ['a', rack],
			machine,
		}));
		clearTimeout(this.#expiry);
		this.#expiry = setTimeout(() => {
			store.remove(`servers/${id}`);
		}, 3 * heartbeatMs);
	}

	#readClock({startedAt}) {
		return Math.floor(firstClockMs + performance.now() - startedAt);
	}

	#advance() {
		const life = this.#life;
		if (life === undefined) {
			return;
		}

		const clock = this.#readClock(life);
		for (const run of life.runs.values()) {
			if (clock >= life.leaseUntil) {
				this.#end(life, run, 'lapsed');
			} else if (run.stopAt !== undefined && clock >= run.stopAt) {
				this.#end(life, run, 'stopped');
			} else if (run.stopAt === undefined && clock >= run.endAt) {
				this.#end(life, run, 'done');
			}
		}
	}

	#end(life, {task, run}, how) {
		life.runs.delete(task);
		life.endedRuns.set(task, run);
		life.lastNumber++;
		life.finished.push([life.lastNumber, task, run, how, '']);
		this.#record('ended', {task, run, how});
	}

	async #serve(request, response, life) {
		const order = await readJson(request);
		if (life !== this.#life) {
			response.destroy();
			return;
		}

		if (this.isCut) {
			return;
		}

		if (request.headers['x-expect-instance'] !== undefined && request.headers['x-expect-instance'] !== this.id) {
			sendJson(response, 421, {});
			return;
		}

		this.#advance();
		const handlers = {'/run-start': () => this.#startRun(life, order), '/run-stop': () => this.#stopRun(life, order), '/hold': async () => this.#hold(life, order, response)};
		const answer = await (handlers[request.url] ?? (() => ({status: 404})))();
		if (life === this.#life && !this.isCut) {
			sendJson(response, answer.status, {clock_ms: this.#readClock(life), born: life.born, ...answer.body});
		}
	}

	#refuse(reason) {
		return {status: 409, body: {reason}};
	}

	#extend(life, deadline) {
		if (deadline !== undefined) {
			life.leaseUntil = Math.max(life.leaseUntil, Math.min(deadline, this.#readClock(life) + longestLeaseMs));
		}
	}

	#startRun(life, {task, run, spec, deadline_ms: deadline, fencing_token: fence = 0}) {
		if (fence < life.fence) {
			this.#record('refused', {
				task, run, fence, reason: 'fence',
			});
			return this.#refuse('fence');
		}

		life.fence = fence;
		const present = life.runs.get(task);
		if (present?.run === run) {
			this.#extend(life, deadline);
			return {status: 200, body: {}};
		}

		const clock = this.#readClock(life);
		if (deadline <= clock) {
			return this.#refuse('late');
		}

		if (present !== undefined || run <= (life.endedRuns.get(task) ?? 0)) {
			this.#extend(life, deadline);
			return this.#refuse('old');
		}

		this.#extend(life, deadline);
		const durationMs = spec === 'lasts' ? Number.POSITIVE_INFINITY : Number(spec);
		life.runs.set(task, {
			task, run, startedAt: clock, endAt: clock + durationMs, durationMs, stopAt: undefined,
		});
		this.#record('started', {task, run, fence});
		return {status: 200, body: {}};
	}

	#stopRun(life, {task, run, fencing_token: fence = 0}) {
		if (fence < life.fence) {
			return this.#refuse('fence');
		}

		life.fence = fence;
		const present = life.runs.get(task);
		if (present !== undefined && present.run <= run) {
			present.stopAt ??= this.#readClock(life) + stopMs;
		}

		life.endedRuns.set(task, Math.max(run, life.endedRuns.get(task) ?? 0));
		return {status: 200, body: {}};
	}

	async #hold(life, {fencing_token: fence = 0, last_seen: lastSeen = 0, deadline_ms: deadline, wait_ms: waitMs = 0}, response) {
		if (fence < life.fence) {
			return this.#refuse('fence');
		}

		life.fence = fence;
		this.#extend(life, deadline);
		life.finished = life.finished.filter(([number]) => number > lastSeen);
		const endAt = performance.now() + waitMs;
		while (life === this.#life && !response.destroyed && life.finished.length === 0 && performance.now() < endAt) {
			await new Promise(resolve => {
				setTimeout(resolve, endCheckMs);
			});
		}

		const clock = this.#readClock(life);
		return {
			status: 200,
			body: {
				running: [...life.runs.values()].map(({task, run, startedAt, durationMs}) => [task, run, '', measurePercent(clock - startedAt, durationMs), 0]),
				finished: life.finished.slice(0, maximumReportedEnds),
			},
		};
	}
}
