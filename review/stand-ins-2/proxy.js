/**
 * Proxy in front of a worker that can delay calls on their way. A delayed call gets no answer; it reaches whatever listens
 * at the worker's own address once its delay is over.
 */
import {Buffer} from 'node:buffer';
import {createServer, request as sendRequest} from 'node:http';

export class Proxy {
	/** Delay in milliseconds of the calls on `delayedPaths`; 0 for none. */
	delayMs = 0;
	delayedPaths = [];
	#options;
	#server = createServer((request, response) => {
		this.#serve(request, response); // Answers on its own.
	});

	/**
	 * @param {{getPort: () => number, record: (event: string, fields: object) => void}} options - port of the worker, and the record
	 */
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

		const call = {
			method: request.method, path: request.url, headers: request.headers, body: Buffer.concat(chunks),
		};
		if (this.delayMs > 0 && this.delayedPaths.includes(request.url)) {
			const {task, run} = JSON.parse(call.body.toString('utf8'));
			this.#options.record('call-delayed', {path: call.path, task, run});
			setTimeout(async () => {
				const status = await this.#forward(call);
				this.#options.record('delayed-call-arrived', {
					path: call.path, task, run, status,
				});
			}, this.delayMs);
			return;
		}

		const status = await this.#forward(call, response);
		if (status === 0) {
			request.socket.destroy();
		}
	}

	/** Forwards a call; resolves to the status of the answer, 0 without one. */
	async #forward({method, path, headers, body}, response) {
		return new Promise(resolve => {
			const sent = sendRequest({
				host: '127.0.0.1', port: this.#options.getPort(), method, path, headers: {...headers, connection: 'close'}, agent: false,
			}, answer => {
				const chunks = [];
				answer.on('data', chunk => {
					chunks.push(chunk);
				});
				answer.once('error', () => {
					resolve(0);
				});
				answer.once('end', () => {
					response?.writeHead(answer.statusCode, {'content-type': 'application/json'});
					response?.end(Buffer.concat(chunks));
					resolve(answer.statusCode);
				});
			});
			sent.once('error', () => {
				resolve(0);
			});
			sent.end(body);
		});
	}
}
