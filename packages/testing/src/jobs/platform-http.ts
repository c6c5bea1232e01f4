import {type ListeningServer, startServer} from '../start-server.js';
import {InvariantChecker} from './invariant-checker.js';
import {createConfiguration, createWorkers} from './create-fleet.js';
import {encodeConfiguration} from './encode-configuration-http.js';
import {StoreHttp} from './store-http.js';
import {WorkerHttp} from './worker-http.js';

/** Stand-in for the whole platform over HTTP on loopback: store, workers and instance service. */
export class PlatformHttp {
	readonly store = new StoreHttp();
	readonly workers: WorkerHttp[] = [];
	readonly checker: InvariantChecker;
	#instances: ListeningServer | undefined;

	constructor(options: {workers?: number; taskMs?: number} = {}) {
		const {workers = 3, taskMs = 100} = options;
		const listings = createWorkers(workers);
		this.checker = new InvariantChecker({configuration: createConfiguration(), workers: listings});
		for (const listing of listings) {
			this.workers.push(new WorkerHttp({
				listing,
				observer: this.checker,
				getBehaviour: () => ({
					durationMs: taskMs, fails: false, runsUntilStopped: false, stalls: false, crashesWorker: false,
				}),
			}));
		}
	}

	/** Starts all servers and puts the configuration and the workers into the store. */
	async start(): Promise<void> {
		await this.store.start();
		await Promise.all(this.workers.map(async worker => worker.start()));
		this.#instances = await startServer((_request, response) => {
			response.writeHead(200, {'content-type': 'application/json'});
			response.end('{"machines":[],"next_token":null}');
		});
		this.configure(1, ['key-north']);
		for (const [position, worker] of this.workers.entries()) {
			this.store.model.put(`servers/w${position + 1}`, worker.describe());
		}
	}

	/** Writes a version of the configuration to the key where the operators publish it. */
	configure(version: number, keys: readonly string[]): void {
		this.store.model.put('op/config', encodeConfiguration({version, organisations: [{name: 'north', keys}]}));
	}

	get addresses(): {store: string; instances: string; tickets: undefined} {
		return {store: this.store.address, instances: new URL(this.#instances?.url ?? '').host, tickets: undefined};
	}

	async stop(): Promise<void> {
		await this.store.stop();
		await Promise.all(this.workers.map(async worker => worker.stop()));
		await this.#instances?.close();
	}
}
