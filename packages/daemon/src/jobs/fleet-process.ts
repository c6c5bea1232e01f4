import {millisecondsPerSecond} from '@rosemaryquay/core/constants';
import {type Logger} from '../create-logger.js';
import {type ClosingReason} from './connection-limiter.js';
import {JobApiServer} from './job-api-server.js';
import {JobStore} from './job-store.js';
import {listChangedFields} from './list-changed-fields.js';
import {limitRefusalLines} from './limit-refusal-lines.js';
import {listViewGauges} from './list-view-gauges.js';
import {MetricsServer} from './metrics-server.js';
import {OperatorStateCache} from './operator-state-cache.js';
import {type OwnershipGrant, OwnerElection} from './owner-election.js';
import {type Platform} from './ports.js';
import {ProcessMetrics} from './process-metrics.js';
import {type GivenProcessSettings, type ProcessSettings, processSettingsSchema} from './process-settings.js';
import {ReadinessServer} from './readiness-server.js';
import {SchedulerRunner} from './scheduler-runner.js';

/** Age of the configuration from which the process reports itself as not ready, so that the load balancer sends no more callers. */
const maximumReadyAgeMs = 3000;

/** Time after the request to stop for the load balancer to notice and for callers to move away; it checks readiness once a second and tolerates one failed check. */
const callerDrainMs = 2500;

/** Part of the shutdown time that is reserved for sending the last answers before the process is killed. */
const shutdownReserveMs = 800;

/** One process on an entry instance: serves callers, and runs the scheduler while it is elected as the owner of the schedule. */
export class FleetProcess {
	#settings: ProcessSettings;
	readonly #platform: Platform;
	readonly #logger: Logger;
	readonly #operatorCache: OperatorStateCache;
	readonly #jobApi: JobApiServer;
	readonly #readiness: ReadinessServer;
	readonly #metrics: MetricsServer;
	readonly #election: OwnerElection;
	#schedulerRunner: SchedulerRunner | undefined;
	#isStopping = false;

	constructor(options: {settings: GivenProcessSettings; platform: Platform; logger: Logger}) {
		const {platform} = options;
		const settings = completeSettings(options.settings);
		this.#settings = settings;
		this.#platform = platform;
		const metrics = new ProcessMetrics({
			gauges: {
				configurationAgeSeconds: {help: 'Time since the configuration was known to be current', read: () => this.#operatorCache.ageMs / millisecondsPerSecond},
				ownsSchedule: {help: '1 while the process owns the schedule', read: () => Number(this.ownsSchedule)},
				scheduledJobs: {help: 'Jobs that have not ended, at the owner', read: () => this.#schedulerRunner?.counts.jobs ?? 0},
				estimateErrorRatio: {help: 'Typical factor, minus 1, by which estimated run times of steps differ from measured ones, at the owner', read: () => this.#schedulerRunner?.counts.estimateError ?? 0},
				callerEstimateErrorRatio: {help: 'The same for the estimates that callers sent', read: () => this.#schedulerRunner?.counts.callerEstimateError ?? 0},
				slowWorkers: {help: 'Instances that the owner holds back because their workers are much slower than their peers', read: () => this.#schedulerRunner?.counts.slowWorkers ?? 0},
				callerConnections: {help: 'Open connections of callers', read: () => this.#jobApi.load.connections},
				openRequests: {help: 'Requests of callers without a complete answer', read: () => this.#jobApi.load.openRequests},
				servedRequests: {help: 'Requests of callers that are being served, also for callers that have gone', read: () => this.#jobApi.load.servedRequests},
				waitingBytes: {help: 'Bytes received from callers that are not parsed yet', read: () => this.#jobApi.load.waitingBytes},
				receivedBodyBytes: {help: 'Bytes of the bodies of requests without an answer', read: () => this.#jobApi.load.receivedBytes},
				scheduledWorkers: {help: 'Workers known to the owner', read: () => this.#schedulerRunner?.counts.workers ?? 0},
			},
			labelledGauges: {
				poolInstances: {help: 'Instances of each pool by state, at the owner', labelNames: ['pool', 'state'], read: () => listViewGauges(this.#schedulerRunner?.view).poolInstances},
				poolCores: {help: 'Capacity, use, forecast demand and mean error of the forecast of each pool in cores, at the owner', labelNames: ['pool', 'kind'], read: () => listViewGauges(this.#schedulerRunner?.view).poolCores},
				organisationCores: {help: 'Usage, share and waiting tasks of organisations that compete for a service in cores, at the owner; at most 20 organisations of a service', labelNames: ['service', 'organisation', 'kind'], read: () => listViewGauges(this.#schedulerRunner?.view).organisationCores},
				waitingJobs: {help: 'Jobs with tasks that wait to be placed, by service, at the owner', labelNames: ['service'], read: () => listViewGauges(this.#schedulerRunner?.view).waitingJobs},
				waitReasons: {help: 'Jobs that have waited for more than 1.5 s, by service and reason, at the owner', labelNames: ['service', 'reason'], read: () => listViewGauges(this.#schedulerRunner?.view).waitReasons},
			},
		});
		const logger = metrics.countEvents(limitRefusalLines(options.logger, {linesPerSecond: settings.limits.refusalLinesPerSecond}));
		this.#logger = logger;
		this.#operatorCache = new OperatorStateCache({platform, logger});
		this.#jobApi = new JobApiServer({
			settings, platform, logger, metrics, operatorCache: this.#operatorCache, jobs: new JobStore({store: platform.store}),
		});
		const reportClosed = (server: string) => (reason: ClosingReason) => {
			logger.log('connection-closed', {server, reason});
		};

		this.#readiness = new ReadinessServer({...settings.readiness, isReady: () => this.#isReady(), onClosed: reportClosed('readiness')});
		this.#metrics = new MetricsServer({...settings.metrics, metrics, onClosed: reportClosed('metrics')});
		this.#election = new OwnerElection({
			store: platform.store,
			logger,
			name: settings.instance,
			size: settings.size,
			listener: {
				onGained: grant => {
					this.#beginOwnership(grant);
				},
				onLost: reason => {
					this.#endOwnership(reason);
				},
			},
		});
	}

	/** Port on which callers are served. */
	get port(): number {
		return this.#jobApi.port;
	}

	/** Port on which the metrics are served. */
	get metricsPort(): number {
		return this.#metrics.port;
	}

	/** True from the election of this process until it notices the loss of the ownership; `OwnerElection.isOwner` tells whether the ownership is certain at this moment. */
	get ownsSchedule(): boolean {
		return this.#schedulerRunner !== undefined;
	}

	async start(): Promise<void> {
		this.#logger.log('process-started', {instance: this.#settings.instance, availabilityZone: this.#settings.availabilityZone, ...this.#settings.size});
		this.#operatorCache.start();
		await Promise.all([this.#jobApi.start(), this.#readiness.start(), this.#metrics.start()]);
		this.#election.start();
	}

	/**
	 * Applies changed settings. New bounds take effect at once for callers, and for the scheduler when this process next
	 * becomes the owner; names and addresses stay in force until the process restarts.
	 *
	 * @param settings - the new settings
	 * @returns names of the fields that changed, and of those among them that need a restart
	 */
	applySettings(settings: GivenProcessSettings): {changed: string[]; needRestart: string[]} {
		const changed = listChangedFields(this.#settings, completeSettings(settings));
		this.#settings = {...this.#settings, bounds: settings.bounds};
		this.#jobApi.updateBounds(settings.bounds);
		return {changed, needRestart: changed.filter(field => field !== 'bounds')};
	}

	/** Shuts down gracefully: resigns as the owner of the schedule, drains the callers, and answers open requests. */
	async shutDown(): Promise<void> {
		if (this.#isStopping) {
			return;
		}

		this.#isStopping = true;
		this.#logger.log('process-shutdown-begun', {ownsSchedule: this.#schedulerRunner !== undefined});
		await this.#election.resign();
		await this.#jobApi.beginShutdown();
		await new Promise(resolve => {
			setTimeout(resolve, callerDrainMs);
		});
		await this.#jobApi.finishShutdown(Math.max(0, this.#settings.bounds.shutdownMs - callerDrainMs - shutdownReserveMs));
		this.#readiness.stop();
		this.#metrics.stop();
		this.#operatorCache.stop();
		await this.#platform.close();
		this.#logger.log('process-shutdown-finished', {});
	}

	#isReady(): boolean {
		return !this.#isStopping && this.#operatorCache.state.configuration !== undefined && this.#operatorCache.ageMs < maximumReadyAgeMs;
	}

	#beginOwnership(grant: OwnershipGrant): void {
		this.#logger.log('owner-elected', {term: grant.term, fence: grant.fencingToken});
		this.#schedulerRunner = new SchedulerRunner({
			settings: this.#settings, platform: this.#platform, logger: this.#logger, operatorCache: this.#operatorCache, election: this.#election, grant,
		});
		void this.#schedulerRunner.start();
	}

	#endOwnership(reason: string): void {
		this.#logger.log('owner-stepped-down', {reason});
		this.#schedulerRunner?.stop();
		this.#schedulerRunner = undefined;
	}
}

function completeSettings(settings: GivenProcessSettings): ProcessSettings {
	return {...settings, limits: processSettingsSchema.shape.limits.parse(settings.limits)};
}
