import {createBurstPattern} from '../pools/create-burst-pattern.js';
import {defaultPoolPolicy} from '../pools/pool-policy.js';
import {createEstimates} from '../estimates/create-estimates.js';
import {restoreSummary} from '../estimates/restore-summary.js';
import {measureLeaseWait} from '../runs/measure-lease-wait.js';
import {type Configuration} from './configuration-schema.js';
import {initialOrderWindow, longestTaskLeaseMs, taskLeaseMs} from './constants.js';
import {createWorker} from './create-worker.js';
import {type LeaseHolder, type Scheduler} from './scheduler.js';

type Options = {
	/** Number of this ownership; each owner has a higher one than its predecessors. */
	term: number;
	now: number;
	/** Local time from which on no former owner has sent an order or a lease; `now` by default. */
	formerOrdersEndedAt?: number | undefined;
	/** Time of day in milliseconds, to which stored times refer; the local time by default. */
	timeOfDay?: number;
	configuration: Configuration;
	/** Workers that may run tasks of former owners. */
	holders?: readonly LeaseHolder[];
	leaseMs?: number;
	/** Longest lease that a worker accepts. */
	longestLeaseMs?: number;
	/** What the former owner has learned, as stored. */
	estimates?: string | undefined;
	/** The stored admission record is empty. */
	isAdmissionEmpty?: boolean;
	/** Longest time that a worker may take to stop a task. */
	stopMs?: number;
	/** How long before its due time an occurrence may start. */
	earlyMs?: number;
	/** How many times as long a task runs far from its data. */
	farRatio?: number | undefined;
};

/**
 * Creates the scheduler state of an owner that has just taken over.
 *
 * @param options - term, local time, configuration in force, stored holders and the platform's bounds in milliseconds
 * @returns the state, without jobs
 * @example
 * createScheduler({term: 1, now: 0, configuration});
 */
export function createScheduler(options: Options): Scheduler {
	const {term, now, timeOfDay = now, configuration, holders = [], leaseMs = taskLeaseMs, longestLeaseMs = longestTaskLeaseMs, stopMs = 1000, earlyMs = 250, isAdmissionEmpty = false} = options;
	const scheduler: Scheduler = {
		term,
		tookOverAt: now,
		formerOrdersEndedAt: Math.min(now, options.formerOrdersEndedAt ?? now),
		leaseMs,
		longestLeaseMs,
		stopMs,
		earlyMs,
		housekeepingDueAt: 0,
		tickedAt: now,
		resumedAt: Number.NEGATIVE_INFINITY,
		configuration,
		withdrawnZones: new Set(),
		workers: new Map(),
		endedIncarnations: new Map(),
		ticketHolders: new Map(),
		ticketService: {
			calls: [], callNumber: 0, answeredAt: Number.NEGATIVE_INFINITY, slowness: 1, overdueCalls: 0, refusedCalls: 0, callDueAt: now,
		},
		jobs: new Map(),
		endingJobs: new Set(),
		endedJobs: new Map(),
		tasks: new Map(),
		crashes: [],
		survivedTrials: new Map(),
		givenUpAt: new Map(),
		orderWindow: {size: initialOrderWindow, reducedUntil: 0},
		usedByOrganisation: new Map(),
		unreconciledServices: new Set(),
		unreconciledByOrganisation: new Map(),
		meanWorkByQueue: new Map(),
		contention: new Map(),
		meanUsage: new Map(),
		meanUsageAt: now,
		orderNumber: 0,
		previousOrder: [],
		screenings: new Map(),
		placementOrder: [],
		orderLogDueAt: now,
		dirtyJobs: new Set(),
		newlyRecordedJobs: new Set(),
		recordsDueAt: 0,
		holdersDirty: false,
		leaseReviewDueAt: now,
		commit: undefined,
		commitNumber: 0,
		commitDueAt: 0,
		summaryDueAt: 0,
		summary: '',
		admission: {isPending: false, isStoredEmpty: isAdmissionEmpty},
		instances: new Map(),
		instanceListDueAt: now,
		instanceListPending: false,
		instanceListRequestedAt: Number.NEGATIVE_INFINITY,
		instanceListing: undefined,
		poolLoads: new Map(),
		poolPolicy: defaultPoolPolicy,
		burstPattern: createBurstPattern(),
		moves: new Map(),
		drains: new Map(),
		movesDueAt: 0,
		waves: new Map(),
		dirtyWaves: new Set(),
		estimates: createEstimates(options.farRatio === undefined ? {} : {farRatio: options.farRatio}),
		views: {
			latest: undefined, published: '', forecasts: new Map(), loggedWaits: new Map(),
		},
	};
	restoreSummary(scheduler, options.estimates, {now, timeOfDay});
	for (const holder of holders) {
		const worker = createWorker({...holder, now});
		worker.recordedAsHolder = true;
		worker.unreconciledUntil = now + measureLeaseWait(longestLeaseMs);
		scheduler.workers.set(worker.id, worker);
	}

	return scheduler;
}
