import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {addJob} from '@rosemaryquay/core/jobs/add-job';
import {createScheduler} from '@rosemaryquay/core/jobs/create-scheduler';
import {type SchedulerEffect} from '@rosemaryquay/core/jobs/effect';
import {type Moment, type SchedulerEvent} from '@rosemaryquay/core/jobs/event';
import {type Configuration} from '@rosemaryquay/core/jobs/configuration-schema';
import {runLeaseMs} from '@rosemaryquay/core/jobs/constants';
import {reduceScheduler} from '@rosemaryquay/core/jobs/reduce-scheduler';
import {type Holder, type Scheduler} from '@rosemaryquay/core/jobs/scheduler';
import {type Change} from '@rosemaryquay/core/store/transaction';
import {type Logger} from '../create-logger.js';
import {decodeStoredJobs} from './decode-stored-jobs.js';
import {followPrefix} from './follow-prefix.js';
import {holdersKey, jobsPrefix, wavesPrefix} from './keys.js';
import {type OperatorWatch} from './operator-watch.js';
import {type Mandate, type Ownership} from './ownership.js';
import {parseHolders} from './parse-holders.js';
import {parseJob} from './parse-job.js';
import {parseJobKey} from './parse-job-key.js';
import {parseWaves} from './parse-waves.js';
import {performSchedulerEffect} from './perform-scheduler-effect.js';
import {type Platform} from './ports.js';
import {type ProcessSettings} from './process-settings.js';

/** Longest time between two looks at what is due. */
const tickIntervalMs = 40;

/** Events that arrive within this time are followed by one look at what is due. */
const tickDelayMs = 3;

/** Pause before the store is read again at a takeover. */
const loadRetryMs = 100;

/** Part of the longest lease of a worker that is used at most. */
const usableLeasePart = 0.8;

type Options = {
	readonly settings: ProcessSettings;
	readonly platform: Platform;
	readonly logger: Logger;
	readonly operators: OperatorWatch;
	readonly ownership: Ownership;
	readonly mandate: Mandate;
};

/** Runs the schedule while the process owns it: feeds the reducer and performs its effects. */
export class Owner {
	readonly #options: Options;
	readonly #stops: Array<() => void> = [];
	readonly #held: SchedulerEvent[] = [];
	readonly #journal = {revision: 0};
	#scheduler: Scheduler | undefined;
	#interval: NodeJS.Timeout | undefined;
	#tick: NodeJS.Timeout | undefined;
	#isStopped = false;

	constructor(options: Options) {
		this.#options = options;
	}

	/** Reads the stored jobs and begins to schedule. */
	async start(): Promise<void> {
		const {mandate, logger, operators} = this.#options;
		const startedAt = performance.now();
		const configuration = await this.#waitForConfiguration();
		const stored = await this.#load();
		if (configuration === undefined || stored === undefined) {
			return;
		}

		const scheduler = this.#createScheduler(configuration, stored.holders);
		const pass = {scheduler, ...this.#now(), effects: []};
		for (const {job, progress, cancelled} of stored.jobs) {
			addJob(pass, job, {progress, cancelled, recovered: true});
		}

		this.#scheduler = scheduler;
		logger.log('owner-took-over', {
			term: mandate.term, fence: mandate.fence, jobs: scheduler.jobs.size, holders: stored.holders.length, revision: stored.revision, loadMs: Math.round(performance.now() - startedAt),
		});
		this.#perform(pass.effects);
		this.#stops.push(
			operators.subscribe(({configuration: latest, withdrawnZones, waves}) => {
				if (latest !== undefined) {
					this.dispatch({type: 'configuration-changed', configuration: latest});
				}

				this.dispatch({type: 'zones-withdrawn', zones: withdrawnZones});
				this.dispatch({type: 'waves-requested', waves: waves.filter(({number}) => !stored.completedWaves.has(number)), done: stored.doneInstances});
			}),
			this.#followWorkers(),
			this.#followJobs(stored.revision),
		);
		this.#interval = setInterval(() => {
			this.dispatch({type: 'ticked'});
		}, tickIntervalMs);
	}

	/** Ends the scheduling; answers that arrive later are ignored. */
	stop(): void {
		this.#isStopped = true;
		clearInterval(this.#interval);
		clearTimeout(this.#tick);
		for (const stop of this.#stops) {
			stop();
		}
	}

	/** Counts for the operators' view. */
	get counts(): {readonly jobs: number; readonly workers: number} {
		return {jobs: this.#scheduler?.jobs.size ?? 0, workers: this.#scheduler?.workers.size ?? 0};
	}

	dispatch(event: SchedulerEvent): void {
		if (this.#isStopped || this.#scheduler === undefined) {
			return;
		}

		if (!this.#options.ownership.isValid) {
			// Nothing is ordered while the ownership is in doubt; what happens meanwhile is taken in afterwards.
			if (event.type !== 'ticked') {
				this.#held.push(event);
			}

			return;
		}

		for (const held of this.#held.splice(0)) {
			this.#perform(reduceScheduler(this.#scheduler, held, this.#now()));
		}

		this.#perform(reduceScheduler(this.#scheduler, event, this.#now()));
		if (event.type !== 'ticked') {
			this.#tick ??= setTimeout(() => {
				this.#tick = undefined;
				this.dispatch({type: 'ticked'});
			}, tickDelayMs);
		}
	}

	#now(): Moment {
		return {now: performance.now(), timeOfDay: Date.now()};
	}

	#perform(effects: readonly SchedulerEffect[]): void {
		const {platform, logger, ownership, mandate, settings} = this.#options;
		for (const effect of effects) {
			performSchedulerEffect(effect, {
				platform,
				logger,
				mandate,
				instance: settings.instance,
				journal: this.#journal,
				dispatch: event => {
					this.dispatch(event);
				},
				stepDown(reason) {
					ownership.stepDown(reason);
				},
			});
		}
	}

	#createScheduler(configuration: Configuration, holders: readonly Holder[]): Scheduler {
		const {bounds} = this.#options.settings;
		return createScheduler({
			term: this.#options.mandate.term,
			now: performance.now(),
			configuration,
			holders,
			leaseMs: Math.min(runLeaseMs, bounds.longestLeaseMs * usableLeasePart),
			stopMs: bounds.stopMs,
			earlyMs: bounds.earlyMs,
		});
	}

	async #waitForConfiguration(): Promise<Configuration | undefined> {
		while (!this.#isStopped) {
			const {configuration} = this.#options.operators.state;
			if (configuration !== undefined) {
				return configuration;
			}

			await delay(loadRetryMs);
		}

		return undefined;
	}

	async #load() {
		const {platform} = this.#options;
		while (!this.#isStopped) {
			const [jobs, holders, waves, statuses] = await Promise.all([
				platform.store.list(jobsPrefix),
				platform.store.list(holdersKey),
				platform.store.list(wavesPrefix),
				platform.store.list(platform.operators.waveStatusPrefix),
			]);
			if (jobs.ok && holders.ok && waves.ok && statuses.ok) {
				const completed = statuses.value.entries.map(entry => platform.operators.decodeCompletedWave(entry)).filter(number => number !== undefined);
				return {
					jobs: decodeStoredJobs(jobs.value.entries),
					revision: jobs.value.revision,
					holders: parseHolders(holders.value.entries.find(({key}) => key === holdersKey)?.value),
					doneInstances: parseWaves(waves.value.entries),
					completedWaves: new Set(completed),
				};
			}

			await delay(loadRetryMs);
		}

		return undefined;
	}

	#followWorkers(): () => void {
		const {platform} = this.#options;
		const {listings} = platform;
		const known = new Set<string>();
		const list = (key: string, value: string, modRevision: number): void => {
			const worker = listings.decode({key, value, modRevision});
			const id = listings.decodeId(key);
			if (worker === undefined) {
				unlist(id);
				return;
			}

			known.add(id);
			this.dispatch({type: 'worker-listed', worker});
		};

		const unlist = (id: string): void => {
			if (known.delete(id)) {
				this.dispatch({type: 'worker-unlisted', id});
			}
		};

		return followPrefix(platform.store, listings.prefix, {
			onListing({entries}) {
				const listed = new Set(entries.map(({key}) => listings.decodeId(key)));
				for (const id of known) {
					if (!listed.has(id)) {
						unlist(id);
					}
				}

				for (const {key, value, modRevision} of entries) {
					list(key, value, modRevision);
				}
			},
			onChanges(changes) {
				for (const {key, value, modRevision} of changes) {
					if (value === undefined) {
						unlist(listings.decodeId(key));
					} else {
						list(key, value, modRevision);
					}
				}
			},
		});
	}

	#followJobs(fromRevision: number): () => void {
		const take = ({key, value}: Change): void => {
			const place = parseJobKey(key);
			if (place === undefined || value === undefined) {
				return;
			}

			if (place.part === 'accepted') {
				const job = parseJob(value);
				if (job !== undefined) {
					this.dispatch({type: 'job-accepted', job});
				}
			} else if (place.part === 'cancelled') {
				this.dispatch({type: 'job-cancelled', id: place.id});
			}
		};

		return followPrefix(this.#options.platform.store, jobsPrefix, {
			onListing({entries}) {
				const ended = new Set(entries.map(({key}) => parseJobKey(key)).filter(place => place?.part === 'end').map(place => place?.id));
				for (const entry of entries) {
					if (!ended.has(parseJobKey(entry.key)?.id)) {
						take(entry);
					}
				}
			},
			onChanges(changes) {
				for (const change of changes) {
					take(change);
				}
			},
		}, {fromRevision});
	}
}
