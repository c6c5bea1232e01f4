import {reportWaitMs} from '../state/constants.js';
import {type Worker} from '../state/scheduler.js';

/** Time without an answer after which a worker counts as silent, in milliseconds: two report intervals. */
const silenceMs = 2 * reportWaitMs;

/**
 * Tells whether a worker is silent, so that the progress of its runs is not known.
 *
 * @param worker - the worker
 * @param now - local time in milliseconds
 * @returns true if its last call, or all calls of some time, were not answered
 * @example
 * isSilent(worker, now);
 */
export function isSilent({unresponsive, lastResponseAt}: Pick<Worker, 'unresponsive' | 'lastResponseAt'>, now: number): boolean {
	return unresponsive || now - lastResponseAt > silenceMs;
}
