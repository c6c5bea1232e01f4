import {millisecondsPerSecond} from '@rosemaryquay/core/constants';
import {type Logger} from '../create-logger.js';
import {EntryServer} from './entry-server.js';
import {JobStore} from './job-store.js';
import {listChanges} from './list-changes.js';
import {MetricsServer} from './metrics-server.js';
import {OperatorWatch} from './operator-watch.js';
import {Owner} from './owner.js';
import {type Mandate, Ownership} from './ownership.js';
import {type Platform} from './ports.js';
import {ProcessMetrics} from './process-metrics.js';
import {type ProcessSettings} from './process-settings.js';
import {ReadinessServer} from './readiness-server.js';

/** Age of the configuration from which the process asks the balancer for no more callers. */
const readinessLimitMs = 3000;

/** Time after the request to stop in which the balancer notices and callers move; it asks once a second and forgives one miss. */
const departureMs = 2500;

/** Time kept back from the end by force for the last answers. */
const shutdownReserveMs = 800;

/** One process on an entry instance: serves callers, and owns the schedule when it is its turn. */
export class FleetProcess {
	#settings: ProcessSettings;
	readonly #platform: Platform;
	readonly #logger: Logger;
	readonly #operators: OperatorWatch;
	readonly #entry: EntryServer;
	readonly #readiness: ReadinessServer;
	readonly #metrics: MetricsServer;
	readonly #ownership: Ownership;
	#owner: Owner | undefined;
	#isStopping = false;

	constructor(options: {settings: ProcessSettings; platform: Platform; logger: Logger}) {
		const {settings, platform} = options;
		this.#settings = settings;
		this.#platform = platform;
		const metrics = new ProcessMetrics({
			readings: {
				configurationAgeSeconds: {help: 'Time since the configuration was known to be current', read: () => this.#operators.ageMs / millisecondsPerSecond},
				ownsSchedule: {help: '1 while the process owns the schedule', read: () => Number(this.ownsSchedule)},
				scheduledJobs: {help: 'Jobs that have not ended, at the owner', read: () => this.#owner?.counts.jobs ?? 0},
				scheduledWorkers: {help: 'Workers known to the owner', read: () => this.#owner?.counts.workers ?? 0},
			},
		});
		const logger = metrics.countEvents(options.logger);
		this.#logger = logger;
		this.#operators = new OperatorWatch({platform, logger});
		this.#entry = new EntryServer({
			settings, platform, logger, metrics, operators: this.#operators, jobs: new JobStore({store: platform.store}),
		});
		this.#readiness = new ReadinessServer({...settings.readiness, isReady: () => this.#isReady()});
		this.#metrics = new MetricsServer({...settings.metrics, metrics});
		this.#ownership = new Ownership({
			store: platform.store,
			logger,
			name: settings.instance,
			candidate: {
				onGained: mandate => {
					this.#beginOwnership(mandate);
				},
				onLost: reason => {
					this.#endOwnership(reason);
				},
			},
		});
	}

	/** Port on which callers are served. */
	get port(): number {
		return this.#entry.port;
	}

	/** Port on which the metrics are served. */
	get metricsPort(): number {
		return this.#metrics.port;
	}

	get ownsSchedule(): boolean {
		return this.#owner !== undefined;
	}

	async start(): Promise<void> {
		this.#logger.log('process-started', {instance: this.#settings.instance, availabilityZone: this.#settings.availabilityZone});
		this.#operators.start();
		await Promise.all([this.#entry.start(), this.#readiness.start(), this.#metrics.start()]);
		this.#ownership.start();
	}

	/**
	 * Takes over changed settings. Bounds are in force for callers at once and for the schedule from the next ownership;
	 * names and addresses stay as they were until the process starts again.
	 *
	 * @param settings - the settings as they are now
	 * @returns the fields that changed, and those of them that need a new start
	 */
	adopt(settings: ProcessSettings): {changed: string[]; needRestart: string[]} {
		const changed = listChanges(this.#settings, settings);
		this.#settings = {...this.#settings, bounds: settings.bounds};
		this.#entry.adopt(settings.bounds);
		return {changed, needRestart: changed.filter(field => field !== 'bounds')};
	}

	/** Hands the schedule over, lets callers leave, and answers what is open. */
	async shutDown(): Promise<void> {
		if (this.#isStopping) {
			return;
		}

		this.#isStopping = true;
		this.#logger.log('process-shutdown-begun', {ownsSchedule: this.#owner !== undefined});
		await this.#ownership.resign();
		this.#entry.beginShutdown();
		await new Promise(resolve => {
			setTimeout(resolve, departureMs);
		});
		await this.#entry.finishShutdown(Math.max(0, this.#settings.bounds.shutdownMs - departureMs - shutdownReserveMs));
		this.#readiness.stop();
		this.#metrics.stop();
		this.#operators.stop();
		await this.#platform.close();
		this.#logger.log('process-shutdown-finished', {});
	}

	#isReady(): boolean {
		return !this.#isStopping && this.#operators.state.configuration !== undefined && this.#operators.ageMs < readinessLimitMs;
	}

	#beginOwnership(mandate: Mandate): void {
		this.#logger.log('owner-elected', {term: mandate.term, fence: mandate.fence});
		this.#owner = new Owner({
			settings: this.#settings, platform: this.#platform, logger: this.#logger, operators: this.#operators, ownership: this.#ownership, mandate,
		});
		void this.#owner.start();
	}

	#endOwnership(reason: string): void {
		this.#logger.log('owner-stepped-down', {reason});
		this.#owner?.stop();
		this.#owner = undefined;
	}
}
