import {createServer, type Server} from 'node:http';
import {findPort} from './find-port.js';
import {listen} from './listen.js';
import {type ProcessMetrics} from './process-metrics.js';

/** HTTP server that exposes the metrics of the process at `/metrics`, in the text format of Prometheus. */
export class MetricsServer {
	readonly #server: Server;
	readonly #address: {host: string; port: number};

	constructor(options: {host: string; port: number; metrics: ProcessMetrics}) {
		const {host, port, metrics} = options;
		this.#address = {host, port};
		this.#server = createServer((request, response) => {
			if (request.url !== '/metrics') {
				response.writeHead(404).end();
				return;
			}

			void metrics.format().then(({contentType, text}) => {
				response.writeHead(200, {'content-type': contentType}).end(text);
			});
		});
	}

	get port(): number {
		return findPort(this.#server);
	}

	async start(): Promise<void> {
		await listen(this.#server, this.#address);
	}

	stop(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}
}
