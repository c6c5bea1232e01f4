/* eslint-disable camelcase -- the fields of the platform are in snake case */
/**
 * Stand-in for the service that decides which workers may run a step. It handles one call at a time, in turn, and allows
 * every worker.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';

const mostWaiting = 32;

export class Advice {
	#options;
	#waiting = [];
	#isBusy = false;
	#server = createServer((request, response) => {
		this.#serve(request, response); // Answers on its own.
	});

	constructor(options) {
		this.#options = options;
	}

	get address() {
		return `127.0.0.1:${this.#server.address().port}`;
	}

	async start() {
		await new Promise(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
	}

	stop() {
		this.#server.closeAllConnections();
		this.#server.close();
	}

	async #serve(request, response) {
		const chunks = [];
		for await (const chunk of request) {
			chunks.push(chunk);
		}

		const {step, workers} = JSON.parse(Buffer.concat(chunks).toString('utf8'));
		const {record} = this.#options;
		if (this.#waiting.length >= mostWaiting) {
			record('advice-refused', {step, waiting: this.#waiting.length});
			response.writeHead(429, {'content-type': 'application/json'});
			response.end('{}');
			return;
		}

		this.#waiting.push({
			step, workers, response, at: Date.now(),
		});
		await this.#work();
	}

	async #work() {
		if (this.#isBusy) {
			return;
		}

		const {decideMs, eachMs, validMs, record} = this.#options;
		this.#isBusy = true;
		while (this.#waiting.length > 0) {
			const {step, workers, response, at} = this.#waiting.shift();
			await delay(decideMs + (eachMs * workers.length));
			record('advice-given', {
				step, workers: workers.length, waitedMs: Date.now() - at, isAbandoned: response.destroyed,
			});
			response.writeHead(200, {'content-type': 'application/json'});
			response.end(JSON.stringify({good: workers.map(id => [id, `${step} ${id} ${Date.now() + validMs}`]), valid_ms: validMs}));
		}

		this.#isBusy = false;
	}
}
