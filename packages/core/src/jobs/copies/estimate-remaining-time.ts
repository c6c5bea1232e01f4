import {findLeaseExpiry} from '../runs/find-lease-expiry.js';
import {reportWaitMs} from '../state/constants.js';
import {type Task} from '../state/scheduler.js';

/** Lowest progress that a run is taken to have, in percent; a task may report 0 % until it is nearly done. */
const lowestPercent = 1;

/** Time without an answer after which a worker counts as silent, in milliseconds: two report intervals. */
const silenceMs = 2 * reportWaitMs;

/**
 * Estimates the remaining time of a confirmed run. The speed is that between its start and the last report; a run whose
 * worker is silent is taken to start again once the lease of the worker has expired.
 *
 * @param run - the run
 * @param options - run time of a fresh run and local time, in milliseconds
 * @returns milliseconds; undefined if the start of the run is not known because a former owner ordered it
 * @example
 * estimateRemainingTime(task, {freshMs: 400, now});
 */
export function estimateRemainingTime({worker, percent, lastOrderAt}: Task, options: {freshMs: number; now: number}): number | undefined {
	const {freshMs, now} = options;
	if (worker === undefined || lastOrderAt === 0) {
		return undefined;
	}

	if (worker.unresponsive || now - worker.lastResponseAt > silenceMs) {
		return Math.max(0, findLeaseExpiry(worker) - now) + freshMs;
	}

	const progress = Math.max(lowestPercent, percent);
	const reportedMs = Math.max(0, worker.lastResponseAt - lastOrderAt);
	return Math.max(0, (reportedMs * (100 - progress) / progress) - (now - worker.lastResponseAt));
}
