/**
 * The daemon process: the reducer, the handlers and clients that perform its effects, and the HTTP server.
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
import {createAuditTrace, type AuditTrace} from './create-audit-trace.js';
import {createRouter} from './http/create-router.js';
import {type RequestOutcome, listStateRoutes} from './operator/list-state-routes.js';
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

/** Number of recently refused requests that `rosemaryquay explain` can look up. */
const maximumExplanations = 10_000;

/**
 * Keep-alive time of idle connections. Load balancers reuse connections for about a minute; a server that
 * closes them earlier can break off a request that has already been sent.
 */
const keepAliveTimeoutMs = 75_000;

/** Number of renewals within the time to live of a task lease. */
const renewalsPerLeaseTtl = 3;

/** Time that a shutdown waits for the store to revoke leases; leases that are not revoked expire on their own. */
const revocationTimeoutMs = 1000;

/** Time that the start waits for the catalogue before the HTTP server listens; without a catalogue requests are refused. */
const catalogueTimeoutMs = 3000;

export class Daemon {
	readonly metrics: Metrics;
	readonly #settings: Settings;
	readonly #logger: Logger;
	readonly #node;
	readonly #incarnation: number;
	readonly #memberId: string;
	readonly #host: Host;
	readonly #auditTrace: AuditTrace | undefined;
	readonly #explanations = new LRUCache<string, RequestOutcome>({max: maximumExplanations});
	readonly #pendingEdits = new Map<string, (result: EditResult) => void>();
	readonly #peerHub: PeerHub | undefined;
	readonly #plannerRunner: PlannerRunner | undefined;
	readonly #server: Server;
	readonly #instanceList: InstanceListClient;
	readonly #usageReader: UsageReader;
	readonly #abortController = new AbortController();
	#resolveShutdown: (() => void) | undefined;

	constructor(options: {settings: Settings; logger: Logger}) {
		const {settings, logger} = options;
		this.#settings = settings;
		this.#logger = logger;
		this.metrics = createMetrics(settings.metrics);
		// Distinguishes a restarted process from its predecessor, whose limit portions and leases it must not claim.
		this.#incarnation = Date.now();
		this.#memberId = `${settings.instance}-${this.#incarnation.toString(36)}`;
		this.#node = createNode({
			id: this.#memberId, zone: settings.zone, seed: this.#incarnation % 0x7F_FF_FF_FF, prefix: settings.store.prefix, clockOriginMs: performance.timeOrigin,
		});
		this.#host = this.#createHost();
		this.#instanceList = new InstanceListClient({url: settings.instanceList.url});
		this.#auditTrace = settings.log.trace ? createAuditTrace(logger) : undefined;
		this.#peerHub = this.#createPeerHub();
		const {poolActions} = settings.maintenance;
		this.#plannerRunner = poolActions === undefined ? undefined : new PlannerRunner({host: this.#host, node: this.#node, settings: {...settings.maintenance, poolActions}});
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
		await this.#peerHub?.start();
		this.#dispatch({
			type: 'process-started',
			at: this.#host.now(),
			address: peer === undefined || this.#peerHub === undefined ? '' : formatPeerAddress(peer.host, this.#peerHub.port),
			incarnation: this.#incarnation,
			prefix: store.prefix,
		});
		void this.#runPeriodically(tickIntervalMs, async () => {
			this.#dispatch({type: 'tick', at: this.#host.now()});
		});
		await waitUntilReady(this.#node, {now: () => this.#host.now(), timeoutMs: catalogueTimeoutMs});
		await this.#refreshInstances();
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(http.port, http.host, resolve);
		});
		void this.#plannerRunner?.run();
		void this.#runPeriodically(this.#settings.instanceList.intervalMs, async () => this.#refreshInstances());
		void this.#runPeriodically(taskLeaseTtlMs / renewalsPerLeaseTtl, async () => this.#renewTaskLeases());
		void this.#runPeriodically(usageReadIntervalMs, async () => this.#usageReader.readNextBatch());
		this.#logger.log('process-started', {url: this.url, zone: this.#settings.zone});
	}

	/** Shuts down gracefully: refuses new requests, finishes the admitted ones and resolves to the number of requests left unfinished. */
	async shutDown(): Promise<number> {
		this.#logger.log('process-shutdown-begun', {requests: this.#host.pendingRequests.size});
		this.#host.draining = true;
		await delay(this.#settings.limits.readinessDelayMs, undefined, {ref: false});
		const finished = new Promise<void>(resolve => {
			this.#resolveShutdown = resolve;
		});
		this.#dispatch({type: 'shutdown-requested', at: this.#host.now()});
		await Promise.race([finished, delay(this.#settings.limits.shutdownMs, undefined, {ref: false})]);
		const unfinished = this.#host.pendingRequests.size;
		await Promise.race([Promise.allSettled(this.#host.pendingRevocations), delay(revocationTimeoutMs, undefined, {ref: false})]);
		await this.close();
		this.#logger.log(unfinished === 0 ? 'process-shutdown-finished' : 'process-shutdown-forced', {requests: unfinished});
		return unfinished;
	}

	/** Stops at once, without waiting for requests. */
	async close(): Promise<void> {
		this.#abortController.abort();
		for (const stop of this.#host.activeWatches.values()) {
			stop();
		}

		await Promise.all([this.#peerHub?.stop(), this.#plannerRunner?.stop()]);
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
				node, metrics: this.metrics, now, findRequestOutcome: id => this.#explanations.get(id),
			}),
			...listCatalogueRoutes(editor),
			...listKeyRoutes(editor),
			...listZoneRoutes(editor),
			...listFleetRoutes(editor, this.#host, this.#settings.maintenance),
		];
	}

	/** Creates the peer hub; there is none when the settings have no peer address or no peer secret. */
	#createPeerHub(): PeerHub | undefined {
		const {zone, peer, peerSecret} = this.#settings;
		if (peer === undefined || peerSecret === undefined) {
			return undefined;
		}

		return new PeerHub({
			member: this.#memberId,
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

	/** Submits a catalogue edit of an operator to the reducer and resolves to its result. */
	async #edit(edit: Edit): Promise<EditResult> {
		return new Promise(resolve => {
			this.#pendingEdits.set(edit.requestId, resolve);
			this.#dispatch({type: 'edit-requested', at: this.#host.now(), edit});
		});
	}

	#createHost(): Host {
		const {store, limits} = this.#settings;
		return {
			draining: false,
			pendingRequests: new Map(),
			activeAttempts: new Map(),
			workerResponses: new Map(),
			activeWatches: new Map(),
			pendingRevocations: new Set(),
			workers: new WorkerClient({holder: this.#memberId, maximumResponseBytes: limits.answerBytes}),
			store: new EtcdStore({url: store.url}),
			prefix: store.prefix,
			metrics: this.metrics,
			logger: this.#logger,
			dispatch: event => {
				this.#dispatch(event);
			},
			now: () => performance.now(),
			sendToPeer: (to, message) => {
				this.#peerHub?.send(to, message);
			},
			setPeers: peers => {
				this.#peerHub?.setPeers(peers.flatMap(({id, address}) => parsePeerAddress(id, address)));
			},
			resolveEdit: (requestId, result) => {
				this.#pendingEdits.get(requestId)?.(result);
				this.#pendingEdits.delete(requestId);
			},
			finishShutdown: () => {
				this.#resolveShutdown?.();
			},
		};
	}

	#dispatch(event: Event): void {
		this.#auditTrace?.recordEvent(this.#node, event);
		for (const effect of reduce(this.#node, event)) {
			this.#auditTrace?.recordEffect(this.#node, event, effect);
			this.#recordExplanation(effect);
			performEffect(this.#host, effect);
		}
	}

	/** Keeps the reason of a refusal for `rosemaryquay explain`. */
	#recordExplanation(effect: Effect): void {
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
		this.#plannerRunner?.updateInstances(outcome.instances);
	}

	/** Renews the task leases at all workers that run attempts of this process, as long as it may use its limit portions. */
	async #renewTaskLeases(): Promise<void> {
		if (!mayUsePortions(this.#node, this.#host.now())) {
			return;
		}

		const addresses = new Set([...this.#host.activeAttempts.values()].map(attempt => attempt.address));
		await Promise.all([...addresses].map(async address => this.#host.workers.renewLease(address)));
	}

	async #runPeriodically(intervalMs: number, work: () => Promise<void>): Promise<void> {
		const {signal} = this.#abortController;
		while (!signal.aborted) {
			await delay(intervalMs, undefined, {signal}).catch(() => undefined);
			if (!signal.aborted) {
				await work();
			}
		}
	}
}
