import {createServer, type Server} from 'node:http';
import {listen} from './listen.js';

/** HTTP server for the readiness checks of the load balancer: answers 200 while the process accepts callers, otherwise 503. */
export class ReadinessServer {
	readonly #server: Server;
	readonly #address: {host: string; port: number};

	constructor(options: {host: string; port: number; isReady: () => boolean}) {
		const {host, port, isReady} = options;
		this.#address = {host, port};
		this.#server = createServer((_request, response) => {
			response.writeHead(isReady() ? 200 : 503, {'content-length': 0});
			response.end();
		});
	}

	async start(): Promise<void> {
		await listen(this.#server, this.#address);
	}

	stop(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}
}
