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
import {type EffectContext} from './effect-context.js';
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
import {waitForCatalogue} from './wait-for-catalogue.js';
import {WorkerClient} from './worker-client.js';

/** Number of recently refused requests that `rosemaryquay explain` can look up. */
const maximumExplanations = 10_000;

/**
 * Keep-alive time of idle connections. Load balancers reuse connections for about a minute; a server that
 * closes them earlier can break off a request that has already been sent.
 */
const keepAliveTimeoutMs = 75_000;

/** Number of renewals within the time to live of a task lease. */
const renewalsPerTaskLeaseTtl = 3;

/** Time that a shutdown waits for the store to revoke the leases of this process; store leases that are not revoked expire on their own. */
const revocationTimeoutMs = 1000;

/** Time that the start waits for the catalogue before the HTTP server listens; without a catalogue requests are refused. */
const catalogueTimeoutMs = 3000;

export class Daemon {
	readonly metrics: Metrics;
	readonly #settings: Settings;
	readonly #logger: Logger;
	/** State of the reducer, which calls it a node. */
	readonly #node;
	readonly #incarnation: number;
	readonly #memberId: string;
	readonly #context: EffectContext;
	readonly #auditTrace: AuditTrace | undefined;
	readonly #explanations = new LRUCache<string, RequestOutcome>({max: maximumExplanations});
	readonly #pendingEdits = new Map<string, (result: EditResult) => void>();
	readonly #peerHub: PeerHub | undefined;
	readonly #plannerRunner: PlannerRunner | undefined;
	readonly #server: Server;
	readonly #instanceList: InstanceListClient;
	readonly #usageReader: UsageReader;
	readonly #abortController = new AbortController();
	#resolveReducerIdle: (() => void) | undefined;

	constructor(options: {settings: Settings; logger: Logger}) {
		const {settings, logger} = options;
		this.#settings = settings;
		this.#logger = logger;
		this.metrics = createMetrics(settings.metrics);
		// Distinguishes a restarted process from its predecessor, whose limit portions and leases it must not claim.
		this.#incarnation = Date.now();
		this.#memberId = `${settings.instance}-${this.#incarnation.toString(36)}`;
		// The random generator takes a signed 32-bit seed.
		this.#node = createNode({
			id: this.#memberId, zone: settings.zone, seed: this.#incarnation % 0x7F_FF_FF_FF, prefix: settings.store.prefix, clockOriginMs: performance.timeOrigin,
		});
		this.#context = this.#createContext();
		this.#instanceList = new InstanceListClient({url: settings.instanceList.url});
		this.#auditTrace = settings.log.trace ? createAuditTrace(logger) : undefined;
		this.#peerHub = this.#createPeerHub();
		const {poolActions} = settings.maintenance;
		this.#plannerRunner = poolActions === undefined ? undefined : new PlannerRunner({context: this.#context, node: this.#node, settings: {...settings.maintenance, poolActions}});
		this.#usageReader = new UsageReader({context: this.#context, node: this.#node});
		const router = createRouter(this.#context, this.#node);
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
			at: this.#context.now(),
			address: peer === undefined || this.#peerHub === undefined ? '' : formatPeerAddress(peer.host, this.#peerHub.port),
			incarnation: this.#incarnation,
			prefix: store.prefix,
		});
		void this.#runPeriodically(tickIntervalMs, async () => {
			this.#dispatch({type: 'tick', at: this.#context.now()});
		});
		await waitForCatalogue(this.#node, {now: () => this.#context.now(), timeoutMs: catalogueTimeoutMs});
		await this.#refreshInstances();
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(http.port, http.host, resolve);
		});
		void this.#plannerRunner?.run();
		void this.#runPeriodically(this.#settings.instanceList.intervalMs, async () => this.#refreshInstances());
		void this.#runPeriodically(taskLeaseTtlMs / renewalsPerTaskLeaseTtl, async () => this.#renewTaskLeases());
		void this.#runPeriodically(usageReadIntervalMs, async () => this.#usageReader.readNextBatch());
		this.#logger.log('process-started', {url: this.url, zone: this.#settings.zone});
	}

	/**
	 * Shuts down gracefully: fails the readiness check, after `readinessDelayMs` refuses new requests, and waits for the admitted
	 * ones. Resolves to the number of requests left unfinished.
	 */
	async shutDown(): Promise<number> {
		this.#logger.log('process-shutdown-begun', {requests: this.#context.pendingRequests.size});
		this.#context.draining = true;
		await delay(this.#settings.limits.readinessDelayMs, undefined, {ref: false});
		const reducerIdle = new Promise<void>(resolve => {
			this.#resolveReducerIdle = resolve;
		});
		this.#dispatch({type: 'shutdown-requested', at: this.#context.now()});
		await Promise.race([reducerIdle, delay(this.#settings.limits.shutdownMs, undefined, {ref: false})]);
		const unfinished = this.#context.pendingRequests.size;
		await Promise.race([Promise.allSettled(this.#context.pendingRevocations), delay(revocationTimeoutMs, undefined, {ref: false})]);
		await this.close();
		this.#logger.log(unfinished === 0 ? 'process-shutdown-finished' : 'process-shutdown-forced', {requests: unfinished});
		return unfinished;
	}

	/** Stops without waiting for requests to finish: connections that are still open after 500 ms are cut. */
	async close(): Promise<void> {
		this.#abortController.abort();
		for (const stop of this.#context.activeWatches.values()) {
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
		await Promise.all([this.#context.workers.close(), this.#context.store.close(), this.#instanceList.close()]);
		this.metrics.close();
	}

	#listRoutes(): OperatorRoute[] {
		const node = this.#node;
		const now = (): number => this.#context.now();
		const editor: CatalogueEditor = {node, now, edit: async edit => this.#edit(edit)};
		return [
			...listStateRoutes({
				node, metrics: this.metrics, now, findRequestOutcome: id => this.#explanations.get(id),
			}),
			...listCatalogueRoutes(editor),
			...listKeyRoutes(editor),
			...listZoneRoutes(editor),
			...listFleetRoutes(editor, this.#context, this.#settings.maintenance),
		];
	}

	/** Creates the peer hub; there is none when the settings have no peer address or no peer secret. */
	#createPeerHub(): PeerHub | undefined {
		const {zone, peer, peerSecret} = this.#settings;
		if (peer === undefined || peerSecret === undefined) {
			return undefined;
		}

		return new PeerHub({
			memberId: this.#memberId,
			zone,
			secret: peerSecret,
			...peer,
			onMessage: (from, message) => {
				this.#dispatch({
					type: 'peer-received', at: this.#context.now(), from, message,
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
			this.#dispatch({type: 'edit-requested', at: this.#context.now(), edit});
		});
	}

	#createContext(): EffectContext {
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
			resolveEdit: (editRequestId, result) => {
				this.#pendingEdits.get(editRequestId)?.(result);
				this.#pendingEdits.delete(editRequestId);
			},
			notifyReducerIdle: () => {
				this.#resolveReducerIdle?.();
			},
		};
	}

	#dispatch(event: Event): void {
		this.#auditTrace?.recordEvent(this.#node, event);
		for (const effect of reduce(this.#node, event)) {
			this.#auditTrace?.recordEffect(this.#node, event, effect);
			this.#recordExplanation(effect);
			performEffect(this.#context, effect);
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

		this.#dispatch({type: 'instances-listed', at: this.#context.now(), instances: outcome.instances});
		this.#plannerRunner?.updateInstances(outcome.instances);
	}

	/**
	 * Renews the task leases at all workers that run attempts of this process, as long as it may use its limit portions.
	 * Otherwise the leases lapse and the workers stop the tasks, before other processes take over the portions (`reclaimDelayMs`).
	 */
	async #renewTaskLeases(): Promise<void> {
		if (!mayUsePortions(this.#node, this.#context.now())) {
			return;
		}

		const addresses = new Set([...this.#context.activeAttempts.values()].map(attempt => attempt.address));
		await Promise.all([...addresses].map(async address => this.#context.workers.renewTaskLease(address)));
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
