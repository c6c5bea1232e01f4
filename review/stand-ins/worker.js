/* eslint-disable camelcase -- the fields of the users' platform are in snake case */
import {setTimeout as delay} from 'node:timers/promises';
import {serveJson} from './http.js';

const advanceIntervalMs = 10;
const longestReport = 500;

/** Time after which a task fails on a worker that fails all tasks. */
const failureMs = 50;

/** Time until a task that lasts is at work. */
const startupMs = 400;

/**
 * Stand-in of a worker: it carries out orders as the platform's pages say, on its own clock, and reports to an observer
 * what it starts and what ends. What a task does is in its payload, a JSON object: `steps` has the thousandths of a core and
 * the time in milliseconds (0: it lasts) of each step.
 */
export class Worker {
	#options;
	#server;
	#timer;
	#heartbeat;
	#expiry;
	#life = 0;
	#lives = 0;
	#clockStartedAt;
	#fence = 0;
	#leaseUntil = 0;
	#ends = [];
	#endNumber = 0;
	#closedRuns = new Map();
	#waiting = new Set();
	#sequence = 0;
	/** Running tasks by name. */
	runs = new Map();
	born = 0;
	isAlive = false;
	/** While true, every task ends as failed soon after its start. */
	failsTasks = false;

	/** @param options - `linkMs` (one way on the link to the worker), `listingLagMs` (time from the start of a later life to its first entry in the store), id, service, zone, labels, capacity, machine, store, host, stopMs, holdMaxMs, heartbeatMs, record, and `ticketIsGood`, which judges tickets where the queue needs them */
	constructor(options) {
		this.#options = options;
	}

	get id() {
		return this.#life === 0 ? this.#options.id : `${this.#options.id}-${this.#life}`;
	}

	get capacity() {
		return this.#options.capacity;
	}

	/** Its options; `service`, `zone` and `labels` are in its entry in the store. */
	get entry() {
		return this.#options;
	}

	get machine() {
		return this.#options.machine;
	}

	get usedCpu() {
		return [...this.runs.values()].reduce((sum, {cpu}) => sum + cpu, 0);
	}

	/** Begins a life: nothing is left of an earlier one but the id and the address. */
	async start() {
		const {host, heartbeatMs, record, listingLagMs = 0, linkMs = 0} = this.#options;
		const port = this.#server === undefined ? 0 : Number(this.#server.address.split(':')[1]);
		this.born = Date.now();
		this.#clockStartedAt = performance.now() - 1000;
		this.#fence = 0;
		this.#leaseUntil = 0;
		this.#ends = [];
		this.#endNumber = 0;
		this.#closedRuns = new Map();
		this.#sequence = 0;
		this.isAlive = true;
		this.#server = await serveJson(host, async call => {
			await delay(linkMs);
			const answer = await this.#handle(call);
			await delay(linkMs);
			return answer;
		}, port);
		this.#timer = setInterval(() => {
			this.#advance();
		}, advanceIntervalMs);
		record({type: 'worker-started', worker: this.id});
		clearTimeout(this.#expiry);
		setTimeout(() => {
			this.#beat();
		}, this.#lives === 0 ? 0 : listingLagMs);
		this.#lives++;
		this.#heartbeat = setInterval(() => {
			this.#beat();
		}, heartbeatMs);
	}

	/** Begins a life under another id, as after an upkeep. */
	async startAnew() {
		this.#life++;
		await this.start();
	}

	/** Writes the entry; the store removes it after three intervals of silence. */
	#beat() {
		const {store, heartbeatMs} = this.#options;
		if (!this.isAlive) {
			return;
		}

		this.#sequence++;
		store.put(`servers/${this.id}`, this.#describe());
		clearTimeout(this.#expiry);
		this.#expiry = setTimeout(() => {
			store.remove(`servers/${this.id}`);
		}, 3 * heartbeatMs).unref();
	}

	/** Ends without a word. Its entry is removed after three heartbeat intervals of silence. */
	crash() {
		const {record} = this.#options;
		this.isAlive = false;
		clearInterval(this.#timer);
		clearInterval(this.#heartbeat);
		this.#server.close();
		this.#waiting.clear();
		for (const {task, run} of this.runs.values()) {
			record({
				type: 'crashed', worker: this.id, task, run,
			});
		}

		this.runs.clear();
		record({type: 'worker-crashed', worker: this.id});
	}

	/** Ends on an order of the platform, which removes its entry. */
	terminate() {
		const {store} = this.#options;
		this.crash();
		clearTimeout(this.#expiry);
		store.remove(`servers/${this.id}`);
	}

	stop() {
		clearInterval(this.#timer);
		clearInterval(this.#heartbeat);
		this.#server.close();
	}

	#describe() {
		const {service, zone, labels, capacity, machine} = this.#options;
		return {
			service, address: this.#server.address, zone, version: 'v1', slots: 8, state: 'ready', cold_remaining_ms: 0, sequence: this.#sequence, capacity, labels, machine, born: this.born,
		};
	}

	#readClock() {
		return Math.floor(performance.now() - this.#clockStartedAt);
	}

	async #handle({url, headers, body}) {
		const {arrives = () => undefined} = this.#options;
		if (!this.isAlive) {
			return undefined;
		}

		if (headers['x-expect-instance'] !== this.id) {
			return {status: 421};
		}

		const {fencing_token: fence = 0} = body;
		await arrives(fence);
		this.#advance();
		if (fence < this.#fence) {
			return this.#refuse('fence');
		}

		this.#fence = fence;
		if (url.pathname === '/run-start') {
			return this.#startRun(body);
		}

		if (url.pathname === '/run-stop') {
			const {task, run} = body;
			this.#closedRuns.set(task, Math.max(run, this.#closedRuns.get(task) ?? 0));
			const current = this.runs.get(task);
			if (current !== undefined && current.run <= run) {
				current.stopAt ??= performance.now() + this.#options.stopMs;
			}

			return this.#accept();
		}

		if (url.pathname === '/hold') {
			return this.#report(body);
		}

		return url.pathname === '/pace' ? this.#accept() : {status: 404};
	}

	#startRun({task, run, spec, deadline_ms: deadline, ticket = ''}) {
		const {record, ticketIsGood = () => true} = this.#options;
		const current = this.runs.get(task);
		if (current?.run === run) {
			this.#extendLease(deadline);
			return this.#accept();
		}

		if (deadline <= this.#readClock()) {
			return this.#refuse('late');
		}

		if (current !== undefined || run <= (this.#closedRuns.get(task) ?? 0)) {
			this.#extendLease(deadline);
			return this.#refuse('old');
		}

		const [job, occurrence, step] = task.split('.');
		if (!ticketIsGood({worker: this, step: `${job}.${occurrence}.${step}`, ticket})) {
			return this.#refuse('ticket');
		}

		const {cpu, ms} = JSON.parse(spec).steps[Number(step)];
		if (this.usedCpu + cpu > this.capacity.cpu) {
			this.#extendLease(deadline);
			return this.#refuse('room');
		}

		this.#extendLease(deadline);
		this.runs.set(task, {
			task, run, cpu, ms, startedAt: performance.now(), willFail: this.failsTasks,
		});
		record({
			type: 'started', worker: this.id, task, run,
		});
		return this.#accept();
	}

	async #report({deadline_ms: deadline, last_seen: lastSeen = 0, wait_ms: waitMs = 0}) {
		this.#extendLease(deadline);
		for (const [number, task, run, how] of this.#ends) {
			if (number <= lastSeen) {
				this.#options.record({
					type: 'noted', worker: this.id, task, run, how, lastSeen,
				});
			}
		}

		this.#ends = this.#ends.filter(([number]) => number > lastSeen);
		if (this.#ends.length === 0 && waitMs > 0) {
			await new Promise(resolve => {
				const finish = () => {
					clearTimeout(timer);
					this.#waiting.delete(finish);
					resolve();
				};

				const timer = setTimeout(finish, waitMs);
				this.#waiting.add(finish);
			});
		}

		if (!this.isAlive) {
			return undefined;
		}

		return {
			status: 200,
			body: {
				clock_ms: this.#readClock(), born: this.born, running: [...this.runs.values()].map(run => describeRun(run)), finished: this.#ends.slice(0, longestReport),
			},
		};
	}

	#extendLease(deadline) {
		if (deadline !== undefined) {
			this.#leaseUntil = Math.max(this.#leaseUntil, Math.min(deadline, this.#readClock() + this.#options.holdMaxMs));
		}
	}

	#advance() {
		const now = performance.now();
		const hasLapsed = this.#readClock() >= this.#leaseUntil;
		for (const run of this.runs.values()) {
			if (run.willFail && now >= run.startedAt + failureMs) {
				this.#end(run, 'failed');
			} else if (run.ms > 0 && now >= run.startedAt + run.ms) {
				this.#end(run, 'done');
			} else if (run.stopAt !== undefined && now >= run.stopAt) {
				this.#end(run, 'stopped');
			} else if (hasLapsed) {
				this.#end(run, 'lapsed');
			}
		}
	}

	#end({task, run}, how) {
		this.runs.delete(task);
		this.#closedRuns.set(task, Math.max(run, this.#closedRuns.get(task) ?? 0));
		this.#endNumber++;
		this.#ends.push([this.#endNumber, task, run, how, '']);
		this.#options.record({
			type: 'ended', worker: this.id, task, run, how,
		});
		for (const finish of this.#waiting) {
			finish();
		}
	}

	#accept() {
		return {status: 200, body: {clock_ms: this.#readClock(), born: this.born}};
	}

	#refuse(reason) {
		return {status: 409, body: {clock_ms: this.#readClock(), born: this.born, reason}};
	}
}

function describeRun({task, run, cpu, ms, startedAt}) {
	const totalMs = ms > 0 ? ms : startupMs;
	return [task, run, '', Math.min(100, Math.floor((100 * (performance.now() - startedAt)) / totalMs)), cpu];
}
