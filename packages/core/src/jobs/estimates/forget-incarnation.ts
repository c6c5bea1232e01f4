import {type Worker} from '../state/scheduler.js';
import {type Estimates} from './estimates.js';
import {getSpeed} from './get-speed.js';

/**
 * Forgets the runs of the former incarnation of a worker. What is known of its instance is kept: a slow one returns to
 * service step by step.
 *
 * @param estimates - the state; changed
 * @param worker - the worker
 * @example
 * forgetIncarnation(scheduler.estimates, worker);
 */
export function forgetIncarnation(estimates: Estimates, worker: Worker): void {
	const speed = getSpeed(estimates, worker);
	speed.evidence = 0;
	speed.suspectedAt = undefined;
	speed.ratios.splice(0);
	speed.judgedAt = Number.NEGATIVE_INFINITY;
}
