import {type Worker} from './scheduler.js';

/**
 * Creates what the scheduler knows of a worker that it has not asked yet.
 *
 * @param options - name, address and instance of the worker, local time in milliseconds
 * @returns the worker; its first report is due at once
 * @example
 * createWorker({id: 'w1', address: '10.0.0.1:80', now: 0});
 */
export function createWorker(options: {id: string; address: string; instance?: string; now: number}): Worker {
	const {id, address, instance = '', now} = options;
	return {
		id,
		listing: undefined,
		address,
		instance,
		bornMs: 0,
		confirmed: false,
		recorded: false,
		unresolvedUntil: 0,
		clockMs: 0,
		clockAt: now,
		leaseUntilMs: 0,
		used: {cpuMillis: 0, memoryMb: 0, accelerators: 0},
		members: new Set(),
		reporting: false,
		reportDueAt: now,
		reportAskedAt: now,
		answeredAt: now,
		heardAt: now,
		seenEnd: 0,
		storedEnd: 0,
		failuresInRow: 0,
		avoidUntil: 0,
		silent: false,
		idleSince: now,
		cordoned: false,
	};
}
