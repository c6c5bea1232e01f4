import {createServer, type Server} from 'node:http';
import {type ClosingReason, ConnectionLimiter} from './connection-limiter.js';
import {probeLimits} from './probe-limits.js';
import {listen} from './listen.js';

/** HTTP server for the readiness checks of the load balancer: answers 200 while the process accepts callers, otherwise 503. */
export class ReadinessServer {
	readonly #server: Server;
	readonly #address: {host: string; port: number};

	constructor(options: {host: string; port: number; isReady: () => boolean; onClosed?: (reason: ClosingReason) => void}) {
		const {host, port, isReady, onClosed} = options;
		this.#address = {host, port};
		const limiter = new ConnectionLimiter({limits: probeLimits, onClosed});
		this.#server = createServer({maxHeaderSize: probeLimits.maximumHeadBytes}, (request, response) => {
			if (limiter.addRequest(request, response) === 0) {
				return;
			}

			response.writeHead(isReady() ? 200 : 503, {'content-length': 0});
			response.end();
		});
		limiter.attach(this.#server);
	}

	async start(): Promise<void> {
		await listen(this.#server, this.#address);
	}

	stop(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}
}
