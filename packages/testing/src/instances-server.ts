/**
 * Stand-in for the platform's instance list: serves a list that tests and experiments edit.
 */
import {type ListedInstance} from '@rosemaryquay/core/node/event';
import {startServer, type ListeningServer} from './start-server.js';

export class InstancesServer {
	instances: ListedInstance[] = [];
	/** While set, every call is answered with status 503. */
	down = false;
	#server: ListeningServer | undefined;

	get url(): string {
		return this.#server?.url ?? '';
	}

	async start(options: {port?: number} = {}): Promise<void> {
		this.#server = await startServer((request, response) => {
			if (this.down || request.url !== '/instances') {
				response.writeHead(this.down ? 503 : 404).end();
				return;
			}

			response.writeHead(200, {'content-type': 'application/json'}).end(JSON.stringify({instances: this.instances}));
		}, options);
	}

	async stop(): Promise<void> {
		await this.#server?.close();
	}
}
