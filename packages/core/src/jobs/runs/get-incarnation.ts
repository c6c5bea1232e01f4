import {type Incarnation} from '../state/instance.js';
import {type Worker} from '../state/scheduler.js';

/**
 * Gets the current incarnation of a worker.
 *
 * @param worker - the worker, if there is one
 * @returns its incarnation; undefined without a worker
 * @example
 * getIncarnation(scheduler.workers.get('w1'));
 */
export function getIncarnation(worker: Worker | undefined): Incarnation | undefined {
	return worker === undefined ? undefined : {worker: worker.id, startedAtMs: Math.max(worker.startedAtMs, worker.listing?.startedAtMs ?? 0)};
}
