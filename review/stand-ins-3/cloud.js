/* eslint-disable camelcase -- the platform's names */
/** Stand-in for the platform's service that lists machines and carries out their moves and upkeeps. */
import {listenOn, readJson, sendJson} from './http.js';

const moveMs = 1500;
const upkeepMs = 2000;

export class Cloud {
	#machines = new Map();
	#server;
	#options;
	#nextId = 1;
	#timers = new Set();

	/**
	 * @param options - `record(event)`, `sparePool`; orders are recorded as they arrive
	 */
	constructor(options) {
		this.#options = options;
	}

	get address() {
		return this.#server.address;
	}

	async start() {
		this.#server = await listenOn(async (request, response) => {
			await this.#serve(request, response);
		});
	}

	async stop() {
		for (const timer of this.#timers) {
			clearTimeout(timer);
		}

		await this.#server.stop();
	}

	/** Adds a machine with its worker, which is started if the pool is not the spare one. */
	async add({worker, pool, zone, rack, capacity}) {
		const machine = {
			machine: worker.machine, pool, state: 'up', zone, labels: ['a', rack], capacity, worker, upkeeps: new Set(),
		};
		this.#machines.set(worker.machine, machine);
		await this.#startWorker(machine);
	}

	async #startWorker({worker, pool}) {
		if (pool !== this.#options.sparePool) {
			await worker.start({id: `i-${worker.machine}-${this.#nextId++}`, service: pool});
		}
	}

	async #serve(request, response) {
		const body = await readJson(request);
		if (request.method === 'GET') {
			sendJson(response, 200, {
				machines: [...this.#machines.values()].map(({machine, pool, state, zone, labels, capacity, worker}) => ({
					machine,
					pool,
					state: state === 'up' && !worker.isUp && pool !== this.#options.sparePool ? 'down' : state,
					zone,
					labels,
					capacity,
					id: state === 'up' && worker.isUp ? worker.id : '',
				})),
				next_token: null,
			});
			return;
		}

		const answer = await this.#order(request.url, body);
		this.#options.record({
			type: 'order', path: request.url, ...body, holder: request.headers['x-duty-holder'], fence: Number(request.headers['x-fencing-token']), status: answer.status, reason: answer.body?.reason,
		});
		sendJson(response, answer.status, answer.body ?? {});
	}

	async #order(path, {machine: id, pool, wave}) {
		const machine = this.#machines.get(id);
		if (machine === undefined) {
			return {status: 400};
		}

		const isMove = path === '/machine-move';
		if (machine.state === 'up' && (isMove ? machine.pool === pool : machine.upkeeps.has(wave))) {
			return {status: 200};
		}

		if (machine.state !== 'up') {
			return {status: 409, body: {reason: 'busy'}};
		}

		machine.state = isMove ? 'moving' : 'upkeep';
		if (isMove) {
			machine.pool = pool;
		} else {
			machine.upkeeps.add(wave);
		}

		if (machine.worker.isUp) {
			await machine.worker.leave();
		}

		const timer = setTimeout(async () => {
			this.#timers.delete(timer);
			await this.#startWorker(machine);
			machine.state = 'up';
		}, isMove ? moveMs : upkeepMs);
		this.#timers.add(timer);
		return {status: 200};
	}
}
