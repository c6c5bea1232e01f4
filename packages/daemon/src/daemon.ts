/**
 * The daemon: one reducer, the clients that perform its effects, and the HTTP server.
 */
import {randomUUID} from 'node:crypto';
import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {LRUCache} from 'lru-cache';
import {taskLeaseTtlMs, tickIntervalMs, usageReadIntervalMs} from '@rosemaryquay/core/constants';
import {mayUsePortions} from '@rosemaryquay/core/limits/may-use-portions';
import {createNode} from '@rosemaryquay/core/node/create-node';
import {type Effect} from '@rosemaryquay/core/node/effect';
import {type Event} from '@rosemaryquay/core/node/event';
import {reduce} from '@rosemaryquay/core/node/reduce';
import {type Edit, type EditResult} from '@rosemaryquay/core/catalogue/catalogue-state';
import {PeerHub} from '@rosemaryquay/peer/peer-hub';
import {formatPeerAddress, parsePeerAddress} from '@rosemaryquay/peer/peer-address';
import {EtcdStore} from '@rosemaryquay/platform/etcd-store';
import {InstanceListClient} from '@rosemaryquay/platform/instance-list-client';
import {type Settings} from '@rosemaryquay/core/settings/schema';
import {type Logger} from './create-logger.js';
import {createMetrics, type Metrics} from './create-metrics.js';
import {type Host} from './host.js';
import {createTrace, type Trace} from './create-trace.js';
import {createRouter} from './http/create-router.js';
import {type Explanation, listStateRoutes} from './operator/list-state-routes.js';
import {type CatalogueEditor} from './operator/edit-entry.js';
import {listCatalogueRoutes} from './operator/list-catalogue-routes.js';
import {listFleetRoutes} from './operator/list-fleet-routes.js';
import {listKeyRoutes} from './operator/list-key-routes.js';
import {listZoneRoutes} from './operator/list-zone-routes.js';
import {type OperatorRoute} from './operator/operator-request.js';
import {mountRoutes} from './operator/mount-routes.js';
import {performEffect} from './perform-effect.js';
import {PlannerRunner} from './planner-runner.js';
import {UsageReader} from './usage-reader.js';
import {waitUntilReady} from './wait-until-ready.js';
import {WorkerClient} from './worker-client.js';

/** Requests that `rosemaryquay explain` can tell about. */
const rememberedRequests = 10_000;

/**
 * Time that an idle connection stays open. Balancers reuse connections for about a minute; a server
 * that closes first can break a request that is already on its way.
 */
const keepAliveTimeoutMs = 75_000;

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
	readonly #trace: Trace | undefined;
	readonly #explanations = new LRUCache<string, Explanation>({max: rememberedRequests});
	readonly #edits = new Map<string, (result: EditResult) => void>();
	readonly #peers: PeerHub | undefined;
	readonly #planner: PlannerRunner | undefined;
	readonly #server: Server;
	readonly #instanceList: InstanceListClient;
	readonly #usageReader: UsageReader;
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
		this.#node = createNode({
			id: this.#member, zone: settings.zone, seed: this.#incarnation % 0x7F_FF_FF_FF, prefix: settings.store.prefix, clockOriginMs: performance.timeOrigin,
		});
		this.#host = this.#createHost();
		this.#instanceList = new InstanceListClient({url: settings.instanceList.url});
		this.#trace = settings.log.trace ? createTrace(logger) : undefined;
		this.#peers = this.#createPeerHub();
		const {poolActions} = settings.maintenance;
		this.#planner = poolActions === undefined ? undefined : new PlannerRunner({host: this.#host, node: this.#node, settings: {...settings.maintenance, poolActions}});
		this.#usageReader = new UsageReader({host: this.#host, node: this.#node});
		const router = createRouter(this.#host, this.#node);
		mountRoutes(router, {
			routes: this.#listRoutes(),
			logger,
			operators: settings.operators,
			snapshot: () => this.#node.snapshot,
		});
		this.#server = createServer({maxHeaderSize: settings.limits.headerBytes, keepAliveTimeout: keepAliveTimeoutMs}, (request, response) => {
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
		await this.#peers?.start();
		this.#dispatch({
			type: 'process-started', at: this.#host.now(), address: peer === undefined || this.#peers === undefined ? '' : formatPeerAddress(peer.host, this.#peers.port), incarnation: this.#incarnation, prefix: store.prefix,
		});
		void this.#repeat(tickIntervalMs, async () => {
			this.#dispatch({type: 'tick', at: this.#host.now()});
		});
		await waitUntilReady(this.#node, {now: () => this.#host.now(), timeoutMs: catalogueTimeoutMs});
		await this.#refreshInstances();
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(http.port, http.host, resolve);
		});
		void this.#planner?.run();
		void this.#repeat(this.#settings.instanceList.intervalMs, async () => this.#refreshInstances());
		void this.#repeat(taskLeaseTtlMs / renewalsPerLease, async () => this.#renewLeases());
		void this.#repeat(usageReadIntervalMs, async () => this.#usageReader.readRound());
		this.#logger.log('process-started', {url: this.url, zone: this.#settings.zone});
	}

	/** Stops accepting work, finishes what was admitted, and resolves to the number of requests cut off. */
	async shutDown(): Promise<number> {
		this.#logger.log('process-shutdown-begun', {requests: this.#host.exchanges.size});
		this.#host.draining = true;
		await delay(this.#settings.limits.readinessDelayMs, undefined, {ref: false});
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

		await Promise.all([this.#peers?.stop(), this.#planner?.stop()]);
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

	#listRoutes(): OperatorRoute[] {
		const node = this.#node;
		const now = (): number => this.#host.now();
		const editor: CatalogueEditor = {node, now, edit: async edit => this.#edit(edit)};
		return [
			...listStateRoutes({
				node, metrics: this.metrics, now, explain: id => this.#explanations.get(id),
			}),
			...listCatalogueRoutes(editor),
			...listKeyRoutes(editor),
			...listZoneRoutes(editor),
			...listFleetRoutes(editor, this.#host, this.#settings.maintenance),
		];
	}

	/** Without an address and a secret the daemon has no connections to peers. */
	#createPeerHub(): PeerHub | undefined {
		const {zone, peer, peerSecret} = this.#settings;
		if (peer === undefined || peerSecret === undefined) {
			return undefined;
		}

		return new PeerHub({
			member: this.#member,
			zone,
			secret: peerSecret,
			...peer,
			onMessage: (from, message) => {
				this.#dispatch({
					type: 'peer-received', at: this.#host.now(), from, message,
				});
			},
			count: counter => {
				this.metrics.count(counter);
			},
		});
	}

	/** Submits an operator's edit to the reducer and resolves to its result. */
	async #edit(edit: Edit): Promise<EditResult> {
		return new Promise(resolve => {
			this.#edits.set(edit.requestId, resolve);
			this.#dispatch({type: 'edit-requested', at: this.#host.now(), edit});
		});
	}

	#createHost(): Host {
		const {store, limits} = this.#settings;
		return {
			draining: false,
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
			sendToPeer: (to, message) => {
				this.#peers?.send(to, message);
			},
			keepPeers: peers => {
				this.#peers?.setPeers(peers.flatMap(({id, address}) => parsePeerAddress(id, address)));
			},
			answerEdit: (requestId, result) => {
				this.#edits.get(requestId)?.(result);
				this.#edits.delete(requestId);
			},
			shutdownFinished: () => {
				this.#finishShutdown?.();
			},
		};
	}

	#dispatch(event: Event): void {
		this.#trace?.before(this.#node, event);
		for (const effect of reduce(this.#node, event)) {
			this.#trace?.effect(this.#node, event, effect);
			this.#remember(effect);
			performEffect(this.#host, effect);
		}
	}

	#remember(effect: Effect): void {
		if (effect.type === 'refuse') {
			const {reason, execution, detail} = effect.refusal;
			this.#explanations.set(effect.taskId, {
				at: new Date().toISOString(), outcome: `refused: ${reason}`, execution, ...(detail !== undefined && {detail}),
			});
		}
	}

	async #refreshInstances(): Promise<void> {
		const outcome = await this.#instanceList.list();
		if (!outcome.ok) {
			this.#logger.log('instance-list-unavailable', {detail: outcome.detail});
			return;
		}

		this.#dispatch({type: 'instances-listed', at: this.#host.now(), instances: outcome.instances});
		this.#planner?.listInstances(outcome.instances);
	}

	async #renewLeases(): Promise<void> {
		if (!mayUsePortions(this.#node, this.#host.now())) {
			return;
		}

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
