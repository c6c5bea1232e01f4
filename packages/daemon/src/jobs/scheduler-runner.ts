import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {addJob} from '@rosemaryquay/core/jobs/state/add-job';
import {createScheduler} from '@rosemaryquay/core/jobs/state/create-scheduler';
import {type SchedulerEffect} from '@rosemaryquay/core/jobs/state/effect';
import {type EventTime, type SchedulerEvent} from '@rosemaryquay/core/jobs/state/event';
import {admissionRecordSchema} from '@rosemaryquay/core/jobs/admission/admission-record';
import {type Configuration} from '@rosemaryquay/core/jobs/state/configuration-schema';
import {taskLeaseMs} from '@rosemaryquay/core/jobs/state/constants';
import {isStartPending} from '@rosemaryquay/core/jobs/runs/is-start-pending';
import {reduceScheduler} from '@rosemaryquay/core/jobs/state/reduce-scheduler';
import {type LeaseHolder, type Scheduler} from '@rosemaryquay/core/jobs/state/scheduler';
import {type View} from '@rosemaryquay/core/jobs/views/view-schema';
import {type Change, type Listing} from '@rosemaryquay/core/store/transaction';
import {type Logger} from '../create-logger.js';
import {computeTickDelay} from './compute-tick-delay.js';
import {decodeUnfinishedJobs} from './decode-unfinished-jobs.js';
import {followPrefix} from './follow-prefix.js';
import {
	admissionKey, estimatesKey, holdersKey, jobChangesPrefix, jobsPrefix, progressPrefix, wavesPrefix,
} from './keys.js';
import {type OperatorStateCache} from './operator-state-cache.js';
import {type OwnershipGrant, type OwnerElection} from './owner-election.js';
import {parseHolders} from './parse-holders.js';
import {parseJob} from './parse-job.js';
import {parseJobKey} from './parse-job-key.js';
import {parseMaintainedInstances} from './parse-maintained-instances.js';
import {parsePayloadKey} from './parse-payload-key.js';
import {parseStoredValue} from './parse-stored-value.js';
import {PayloadCache} from './payload-cache.js';
import {performSchedulerEffect} from './perform-scheduler-effect.js';
import {type Platform} from './ports.js';
import {type ProcessSettings} from './process-settings.js';

/** Longest interval between two `ticked` events, on which the scheduler does what is due. */
const tickIntervalMs = 40;

/** Delay before a failed read of the store is repeated at a takeover. */
const loadRetryDelayMs = 100;

/** Attempts to read one part of the schedule at a takeover, after which another process gets the chance to take over. */
const loadAttempts = 3;

/** Largest run lease, as a fraction of the longest lease that workers accept. */
const usableLeaseFraction = 0.8;

/** What a new owner reads of the former one that it can do without. */
type Hints = {readonly estimates: string | undefined; readonly isAdmissionEmpty: boolean};

type Options = {
	readonly settings: ProcessSettings;
	readonly platform: Platform;
	readonly logger: Logger;
	readonly operatorCache: OperatorStateCache;
	readonly election: OwnerElection;
	readonly grant: OwnershipGrant;
};

/** Runs the scheduler while the process owns the schedule: feeds events to the reducer and performs its effects. */
export class SchedulerRunner {
	readonly #options: Options;
	readonly #unsubscribers: Array<() => void> = [];
	readonly #deferredEvents: SchedulerEvent[] = [];
	readonly #commitGuard = {revision: 0};
	readonly #payloads: PayloadCache;
	#scheduler: Scheduler | undefined;
	#tickInterval: NodeJS.Timeout | undefined;
	#pendingTick: NodeJS.Timeout | undefined;
	/** Duration of the last tick in milliseconds. */
	#tickMs = 0;
	#isStopped = false;

	constructor(options: Options) {
		this.#options = options;
		this.#payloads = new PayloadCache({store: options.platform.store});
	}

	/** Takes over the schedule: restores its state from the store and starts scheduling. */
	async start(): Promise<void> {
		const {grant, logger, operatorCache} = this.#options;
		const startedAt = performance.now();
		const configuration = await this.#waitForConfiguration();
		const stored = await this.#load();
		// The ownership may have been lost while the schedule was read.
		if (configuration === undefined || stored === undefined || this.#isStopped) {
			return;
		}

		const scheduler = this.#createScheduler(configuration, stored);
		const pass = {scheduler, ...this.#readClocks(), effects: []};
		const {vacantSince = Number.POSITIVE_INFINITY} = grant;
		for (const {job, progress, cancelled, acceptedRevision = 0} of stored.jobs) {
			addJob(pass, job, {progress, cancelled, recovered: acceptedRevision < vacantSince});
		}

		this.#scheduler = scheduler;
		logger.log('owner-took-over', {
			term: grant.term, fence: grant.fencingToken, jobs: scheduler.jobs.size, holders: stored.holders.length, revision: stored.revision, loadMs: Math.round(performance.now() - startedAt),
		});
		this.#perform(pass.effects);
		this.#unsubscribers.push(
			operatorCache.subscribe(({configuration: latest, withdrawnZones, waves}) => {
				if (latest !== undefined) {
					this.dispatch({type: 'configuration-changed', configuration: latest});
				}

				this.dispatch({type: 'zones-withdrawn', zones: withdrawnZones});
				this.dispatch({type: 'waves-requested', waves: waves.filter(({number}) => !stored.completedWaves.has(number)), done: stored.maintainedInstances});
			}),
			this.#followWorkers(),
			this.#followJobs(stored.revision),
		);
		this.#tickInterval = setInterval(() => {
			this.dispatch({type: 'ticked'});
		}, tickIntervalMs);
	}

	/** Stops scheduling; later events are ignored. */
	stop(): void {
		this.#isStopped = true;
		clearInterval(this.#tickInterval);
		clearTimeout(this.#pendingTick);
		for (const stop of this.#unsubscribers) {
			stop();
		}
	}

	/** Sizes for the metrics. */
	get counts() {
		const estimates = this.#scheduler?.estimates;
		return {
			jobs: this.#scheduler?.jobs.size ?? 0,
			workers: this.#scheduler?.workers.size ?? 0,
			estimateError: Math.expm1(estimates?.errors.median ?? 0),
			callerEstimateError: Math.expm1(estimates?.callerErrors.median ?? 0),
			slowWorkers: [...(estimates?.speeds.values() ?? [])].filter(({isSlow}) => isSlow).length,
		};
	}

	/** View of the schedule as it was last measured, at most a second ago. */
	get view(): View | undefined {
		return this.#scheduler?.views.latest;
	}

	/** Handles an event and performs the resulting effects. */
	dispatch(event: SchedulerEvent): void {
		if (this.#isStopped || this.#scheduler === undefined) {
			return;
		}

		if (!this.#options.election.isOwner) {
			// No orders are sent while the ownership is uncertain; events are deferred until it is confirmed.
			if (event.type !== 'ticked') {
				this.#deferredEvents.push(event);
			}

			return;
		}

		for (const deferred of this.#deferredEvents.splice(0)) {
			this.#perform(reduceScheduler(this.#scheduler, deferred, this.#readClocks()));
		}

		const startedAt = performance.now();
		this.#perform(reduceScheduler(this.#scheduler, event, this.#readClocks()));
		if (event.type === 'ticked') {
			this.#tickMs = performance.now() - startedAt;
			return;
		}

		this.#pendingTick ??= setTimeout(() => {
			this.#pendingTick = undefined;
			this.dispatch({type: 'ticked'});
		}, computeTickDelay(this.#tickMs));
	}

	#readClocks(): EventTime {
		return {now: performance.now(), timeOfDay: Date.now()};
	}

	#perform(effects: readonly SchedulerEffect[]): void {
		const {platform, logger, election, grant, settings} = this.#options;
		for (const effect of effects) {
			if (this.#isStopped) {
				// An earlier effect ended the ownership.
				return;
			}

			performSchedulerEffect(effect, {
				platform,
				logger,
				grant,
				instance: settings.instance,
				payloads: this.#payloads,
				commitGuard: this.#commitGuard,
				// After a stop, the process may be the owner again, by another grant.
				isOwner: () => !this.#isStopped && election.isOwner,
				isStartPending: order => this.#scheduler !== undefined && isStartPending(this.#scheduler, order),
				dispatch: event => {
					this.dispatch(event);
				},
				stepDown: reason => {
					if (!this.#isStopped) {
						election.stepDown(reason);
					}
				},
			});
		}
	}

	#createScheduler(configuration: Configuration, {holders, hints}: {holders: readonly LeaseHolder[]; hints: Hints}): Scheduler {
		const {bounds} = this.#options.settings;
		return createScheduler({
			term: this.#options.grant.term,
			now: performance.now(),
			formerOrdersEndedAt: this.#options.grant.formerOrdersEndedAt,
			timeOfDay: Date.now(),
			configuration,
			holders,
			...hints,
			leaseMs: Math.min(taskLeaseMs, bounds.longestLeaseMs * usableLeaseFraction),
			longestLeaseMs: bounds.longestLeaseMs,
			stopMs: bounds.stopMs,
			earlyMs: bounds.earlyMs,
			farRatio: bounds.farRatio,
		});
	}

	async #waitForConfiguration(): Promise<Configuration | undefined> {
		while (!this.#isStopped) {
			const {configuration} = this.#options.operatorCache.state;
			if (configuration !== undefined) {
				return configuration;
			}

			await delay(loadRetryDelayMs);
		}

		return undefined;
	}

	/** Reads the schedule from the store. Resolves to undefined when the process stops or gives up the ownership. */
	async #load() {
		const {platform} = this.#options;
		const loadingHints = this.#loadHints();
		const [jobs, progress, holders, maintained, statuses] = await Promise.all([jobsPrefix, progressPrefix, holdersKey, wavesPrefix, platform.operatorFormat.waveStatusPrefix].map(async prefix => this.#loadPart(prefix)));
		if (jobs === undefined || progress === undefined || holders === undefined || maintained === undefined || statuses === undefined) {
			return undefined;
		}

		const completed = statuses.entries.map(entry => platform.operatorFormat.decodeCompletedWave(entry)).filter(number => number !== undefined);
		return {
			jobs: decodeUnfinishedJobs([...jobs.entries, ...progress.entries]),
			revision: jobs.revision,
			hints: await loadingHints,
			holders: parseHolders(holders.entries.find(({key}) => key === holdersKey)?.value),
			maintainedInstances: parseMaintainedInstances(maintained.entries),
			completedWaves: new Set(completed),
		};
	}

	/** Reads what the former owner has learned, and whether its admission record is empty, once: a takeover does not depend on them. */
	async #loadHints(): Promise<Hints> {
		const [estimates, admission] = await Promise.all([estimatesKey, admissionKey].map(async key => {
			const listing = await this.#options.platform.store.list(key);
			return listing.ok ? listing.value.entries.find(entry => entry.key === key) : undefined;
		}));
		const record = admission === undefined ? undefined : parseStoredValue(admissionRecordSchema, admission.value);
		return {estimates: estimates?.value, isAdmissionEmpty: record?.queues.length === 0};
	}

	async #loadPart(prefix: string): Promise<Listing | undefined> {
		const {platform, logger, election} = this.#options;
		const startedAt = performance.now();
		for (let attempt = 1; !this.#isStopped; attempt++) {
			const listing = await platform.store.list(prefix);
			if (listing.ok) {
				return listing.value;
			}

			logger.log('schedule-load-failed', {
				prefix, attempt, reason: listing.reason, detail: listing.detail, elapsedMs: Math.round(performance.now() - startedAt),
			});
			if (attempt >= loadAttempts && !this.#isStopped) {
				await election.yield('The schedule could not be read');
				return undefined;
			}

			await delay(loadRetryDelayMs);
		}

		return undefined;
	}

	#followWorkers(): () => void {
		const {platform} = this.#options;
		const {registrationFormat: format} = platform;
		const knownIds = new Set<string>();
		const addWorker = (key: string, value: string, modRevision: number): void => {
			const worker = format.decode({key, value, modRevision});
			const id = format.decodeId(key);
			if (worker === undefined) {
				removeWorker(id);
				return;
			}

			knownIds.add(id);
			this.dispatch({type: 'worker-listed', worker});
		};

		const removeWorker = (id: string): void => {
			if (knownIds.delete(id)) {
				this.dispatch({type: 'worker-unlisted', id});
			}
		};

		return followPrefix(platform.store, format.prefix, {
			onListing({entries}) {
				const listed = new Set(entries.map(({key}) => format.decodeId(key)));
				for (const id of knownIds) {
					if (!listed.has(id)) {
						removeWorker(id);
					}
				}

				for (const {key, value, modRevision} of entries) {
					addWorker(key, value, modRevision);
				}
			},
			onChanges(changes) {
				for (const {key, value, modRevision} of changes) {
					if (value === undefined) {
						removeWorker(format.decodeId(key));
					} else {
						addWorker(key, value, modRevision);
					}
				}
			},
		});
	}

	#followJobs(fromRevision: number): () => void {
		const applyChanges = (changes: readonly Change[]): void => {
			// A payload is stored together with its job and may follow it here, so all payloads come first.
			for (const {key, value} of changes) {
				const id = parsePayloadKey(key);
				if (id !== undefined && value !== undefined) {
					this.#payloads.set(id, value);
				}
			}

			for (const change of changes) {
				this.#applyJobChange(change);
			}
		};

		return followPrefix(this.#options.platform.store, jobChangesPrefix, {
			onListing({entries}) {
				applyChanges(entries);
			},
			onChanges: applyChanges,
		}, {fromRevision, listingPrefix: jobsPrefix});
	}

	#applyJobChange({key, value}: Change): void {
		const location = parseJobKey(key);
		if (location === undefined || value === undefined) {
			return;
		}

		if (location.part === 'accepted') {
			const job = parseJob(value);
			if (job !== undefined) {
				this.dispatch({type: 'job-accepted', job});
			}
		} else if (location.part === 'cancelled') {
			this.dispatch({type: 'job-cancelled', id: location.id});
		}
	}
}
