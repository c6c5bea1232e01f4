import {findLeaseExpiry} from '../runs/find-lease-expiry.js';
import {type Task} from '../state/scheduler.js';
import {isSilent} from './is-silent.js';

/** Lowest progress that a run is taken to have, in percent; a task may report 0 % until it is nearly done. */
const lowestPercent = 1;

/**
 * Estimates the remaining time of a confirmed run. The speed is that between its start and the last report; a run whose
 * worker is silent is taken to start again once the lease of the worker has expired.
 *
 * @param run - the run
 * @param options - run time of a fresh run and local time, in milliseconds
 * @returns milliseconds; undefined if the start of the run is not known because a former owner ordered it, or its progress because no report shows it yet
 * @example
 * estimateRemainingTime(task, {freshMs: 400, now});
 */
export function estimateRemainingTime({worker, percent, lastOrderAt}: Task, options: {freshMs: number; now: number}): number | undefined {
	const {freshMs, now} = options;
	if (worker === undefined || lastOrderAt === 0) {
		return undefined;
	}

	if (isSilent(worker, now)) {
		return Math.max(0, findLeaseExpiry(worker) - now) + freshMs;
	}

	const {reportAnsweredAt} = worker;
	if (reportAnsweredAt < lastOrderAt) {
		return undefined;
	}

	const progress = Math.max(lowestPercent, percent);
	return Math.max(0, ((reportAnsweredAt - lastOrderAt) * (100 - progress) / progress) - (now - reportAnsweredAt));
}
