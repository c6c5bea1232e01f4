import {createServer, type Server} from 'node:http';
import {type ClosingReason, ConnectionLimiter} from './connection-limiter.js';
import {findPort} from './find-port.js';
import {listen} from './listen.js';
import {probeLimits} from './probe-limits.js';
import {type ProcessMetrics} from './process-metrics.js';

/** HTTP server that exposes the metrics of the process at `/metrics`, in the text format of Prometheus. */
export class MetricsServer {
	readonly #server: Server;
	readonly #address: {host: string; port: number};
	#scrape: ReturnType<ProcessMetrics['format']> | undefined;

	constructor(options: {host: string; port: number; metrics: ProcessMetrics; onClosed?: (reason: ClosingReason) => void}) {
		const {host, port, metrics, onClosed} = options;
		this.#address = {host, port};
		const limiter = new ConnectionLimiter({limits: probeLimits, onClosed});
		this.#server = createServer({maxHeaderSize: probeLimits.maximumHeadBytes}, (request, response) => {
			if (limiter.addRequest(request, response) === 0) {
				return;
			}

			if (request.url !== '/metrics') {
				response.writeHead(404).end();
				return;
			}

			void this.#format(metrics).then(({contentType, text}) => {
				response.writeHead(200, {'content-type': contentType}).end(text);
			});
		});
		limiter.attach(this.#server);
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

	/** Formats the metrics once for all scrapes that wait at the same time. */
	async #format(metrics: ProcessMetrics): ReturnType<ProcessMetrics['format']> {
		this.#scrape ??= metrics.format().finally(() => {
			this.#scrape = undefined;
		});
		return this.#scrape;
	}
}
