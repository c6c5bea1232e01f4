import {soleWorkerBackoffMs} from '../state/constants.js';
import {type Worker} from '../state/scheduler.js';

/**
 * Gives a worker no tasks for a time.
 *
 * @param worker - the worker; changed
 * @param pauseMs - the time in milliseconds
 * @param now - local time in milliseconds
 * @example
 * avoidWorker(worker, 1000, now);
 */
export function avoidWorker(worker: Worker, pauseMs: number, now: number): void {
	worker.backoffUntil = now + pauseMs;
	worker.retryDueAt = now + Math.min(pauseMs, soleWorkerBackoffMs);
}
