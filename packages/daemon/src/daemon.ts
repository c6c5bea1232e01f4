/**
 * The daemon: one reducer, the clients that perform its effects, and the HTTP server.
 */
import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {taskLeaseTtlMs, tickIntervalMs} from '@rosemaryquay/core/constants';
import {createNode} from '@rosemaryquay/core/node/create-node';
import {type Event} from '@rosemaryquay/core/node/event';
import {reduce} from '@rosemaryquay/core/node/reduce';
import {EtcdStore} from '@rosemaryquay/platform/etcd-store';
import {InstanceList} from '@rosemaryquay/platform/instance-list';
import {type Settings} from '@rosemaryquay/core/settings/schema';
import {CatalogueReader} from './catalogue-reader.js';
import {type Logger} from './create-logger.js';
import {createMetrics, type Metrics} from './create-metrics.js';
import {type Host} from './host.js';
import {createRouter} from './http/create-router.js';
import {performEffect} from './perform-effect.js';
import {WorkerClient} from './worker-client.js';

/** Renewals of a task lease within its time to live. */
const renewalsPerLease = 3;

/** Time that a shutdown waits for the store to take back leases; otherwise they lapse by themselves. */
const revocationTimeoutMs = 1000;

/** Time that the start waits for the catalogue before callers are let in; until it is there they are refused. */
const catalogueTimeoutMs = 3000;

export class Daemon {
	readonly metrics: Metrics;
	readonly #settings: Settings;
	readonly #logger: Logger;
	readonly #node;
	readonly #incarnation: number;
	readonly #member: string;
	readonly #host: Host;
	readonly #server: Server;
	readonly #instanceList: InstanceList;
	readonly #catalogueReader: CatalogueReader;
	readonly #abort = new AbortController();
	#finishShutdown: (() => void) | undefined;

	constructor(options: {settings: Settings; logger: Logger}) {
		const {settings, logger} = options;
		this.#settings = settings;
		this.#logger = logger;
		this.metrics = createMetrics(settings.metrics);
		// A restarted process never claims the portions or leases of its predecessor.
		this.#incarnation = Date.now();
		this.#member = `${settings.instance}-${this.#incarnation.toString(36)}`;
		this.#node = createNode({id: this.#member, zone: settings.zone, seed: Date.now() % 0x7F_FF_FF_FF});
		this.#host = this.#createHost();
		this.#instanceList = new InstanceList({url: settings.instanceList.url});
		this.#catalogueReader = new CatalogueReader({node: this.#node, now: () => this.#host.now()});
		const router = createRouter(this.#host, this.#node);
		this.#server = createServer({maxHeaderSize: settings.limits.headerBytes}, (request, response) => {
			router.lookup(request, response);
		});
	}

	/** URL that the HTTP server listens on. */
	get url(): string {
		const {address, port} = this.#server.address() as AddressInfo;
		return `http://${address}:${port}`;
	}

	async start(): Promise<void> {
		const {http} = this.#settings;
		const {store, peer} = this.#settings;
		this.#dispatch({
			type: 'process-started', at: this.#host.now(), address: peer === undefined ? '' : `${peer.host}:${peer.port}`, incarnation: this.#incarnation, prefix: store.prefix,
		});
		void this.#repeat(tickIntervalMs, async () => {
			this.#dispatch({type: 'tick', at: this.#host.now()});
		});
		await this.#catalogueReader.ready(catalogueTimeoutMs);
		await this.#refreshInstances();
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(http.port, http.host, resolve);
		});
		void this.#repeat(this.#settings.instanceList.intervalMs, async () => this.#refreshInstances());
		void this.#repeat(taskLeaseTtlMs / renewalsPerLease, async () => this.#renewLeases());
		this.#logger.log('process-started', {url: this.url, zone: this.#settings.zone});
	}

	/** Stops accepting work, finishes what was admitted, and resolves to the number of requests cut off. */
	async shutDown(): Promise<number> {
		this.#logger.log('process-shutdown-begun', {requests: this.#host.exchanges.size});
		const finished = new Promise<void>(resolve => {
			this.#finishShutdown = resolve;
		});
		this.#dispatch({type: 'shutdown-requested', at: this.#host.now()});
		await Promise.race([finished, delay(this.#settings.limits.shutdownMs, undefined, {ref: false})]);
		const unfinished = this.#host.exchanges.size;
		await Promise.race([Promise.allSettled(this.#host.revocations), delay(revocationTimeoutMs, undefined, {ref: false})]);
		await this.close();
		this.#logger.log(unfinished === 0 ? 'process-shutdown-finished' : 'process-shutdown-forced', {requests: unfinished});
		return unfinished;
	}

	/** Ends at once. */
	async close(): Promise<void> {
		this.#abort.abort();
		for (const stop of this.#host.watches.values()) {
			stop();
		}

		const closed = new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
		this.#server.closeIdleConnections();
		await Promise.race([closed, delay(500, undefined, {ref: false})]);
		this.#server.closeAllConnections();
		await Promise.all([this.#host.workers.close(), this.#host.store.close(), this.#instanceList.close()]);
		this.metrics.close();
	}

	#createHost(): Host {
		const {store, limits} = this.#settings;
		return {
			exchanges: new Map(),
			flights: new Map(),
			answers: new Map(),
			watches: new Map(),
			revocations: new Set(),
			workers: new WorkerClient({holder: this.#member, answerBytes: limits.answerBytes}),
			store: new EtcdStore({url: store.url}),
			prefix: store.prefix,
			metrics: this.metrics,
			logger: this.#logger,
			dispatch: event => {
				this.#dispatch(event);
			},
			now: () => performance.now(),
			sendToPeer() {
				// Connections to peers are not made yet; the node has no peers.
			},
			keepPeers() {
				// Connections to peers are not made yet.
			},
			answerEdit() {
				// The operator interface is not served yet.
			},
			shutdownFinished: () => {
				this.#finishShutdown?.();
			},
		};
	}

	#dispatch(event: Event): void {
		for (const effect of reduce(this.#node, event)) {
			performEffect(this.#host, effect);
		}
	}

	async #refreshInstances(): Promise<void> {
		const outcome = await this.#instanceList.list();
		if (!outcome.ok) {
			this.#logger.log('instance-list-unavailable', {detail: outcome.detail});
			return;
		}

		this.#dispatch({type: 'instances-listed', at: this.#host.now(), instances: outcome.instances});
	}

	async #renewLeases(): Promise<void> {
		const addresses = new Set([...this.#host.flights.values()].map(flight => flight.address));
		await Promise.all([...addresses].map(async address => this.#host.workers.renewLease(address)));
	}

	async #repeat(intervalMs: number, work: () => Promise<void>): Promise<void> {
		const {signal} = this.#abort;
		while (!signal.aborted) {
			await delay(intervalMs, undefined, {signal}).catch(() => undefined);
			if (!signal.aborted) {
				await work();
			}
		}
	}
}
