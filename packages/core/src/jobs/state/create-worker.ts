import {type Worker} from './scheduler.js';

/**
 * Creates the state of a worker that has not been contacted yet.
 *
 * @param options - id, address, instance and service of the worker, what is recorded of its lease, and local time in milliseconds
 * @returns the worker; its first report is due at once
 * @example
 * createWorker({id: 'w1', address: '10.0.0.1:80', now: 0});
 */
export function createWorker(options: {id: string; address: string; instance?: string; service?: string; boundedStartedAtMs?: number; now: number}): Worker {
	const {id, address, instance = '', service = '', boundedStartedAtMs = 0, now} = options;
	return {
		id,
		listing: undefined,
		address,
		locatedAt: now,
		instance,
		service,
		startedAtMs: 0,
		answeredStartedAtMs: 0,
		unlistedAt: now,
		listedStartedAtMs: 0,
		acknowledgedOwner: false,
		recordedAsHolder: false,
		boundedStartedAtMs,
		unreconciledUntil: 0,
		clockMs: 0,
		clockReadAt: now,
		leaseUntilMs: 0,
		leaseSentAt: Number.NEGATIVE_INFINITY,
		earlierCallsUntil: Number.NEGATIVE_INFINITY,
		openStarts: new Map(),
		used: {cpuMillis: 0, memoryMb: 0, accelerators: 0},
		measuredUsage: undefined,
		tasks: new Set(),
		reportPending: false,
		reportDueAt: now,
		reportRequestedAt: now,
		lastResponseAt: now,
		lastSeenAt: now,
		receivedEndNumber: 0,
		committedEndNumber: 0,
		acknowledgedEndNumber: 0,
		pendingAcknowledgement: 0,
		acknowledgementWithheld: false,
		reportAnsweredAt: Number.NEGATIVE_INFINITY,
		contestedEnds: new Map(),
		consecutiveFailures: 0,
		backoffUntil: 0,
		retryDueAt: 0,
		unresponsive: false,
		idleSince: now,
		hasStrayRuns: false,
		cordoned: false,
		wasLeaving: false,
		unexplainedLoss: undefined,
		loggedRestarts: new Map(),
		silenceLogged: false,
		leaseEndLogged: false,
		abandonmentLogged: false,
	};
}
