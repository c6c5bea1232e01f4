import {type Worker} from '../state/scheduler.js';
import {type Estimates, type InstanceSpeed} from './estimates.js';

/** Largest number of instances whose speed is kept; the largest fleet has 17,000, of which few are judged between two restarts. */
const maximumInstances = 20_000;

/**
 * Gets the relative speed of the instance of a worker.
 *
 * @param estimates - the state; changed when the instance has not been judged yet
 * @param worker - the worker
 * @returns the speed
 * @example
 * getSpeed(estimates, worker).isSlow;
 */
export function getSpeed({speeds}: Estimates, {id, instance}: Worker): InstanceSpeed {
	const key = instance === '' ? id : instance;
	const known = speeds.get(key);
	if (known !== undefined) {
		return known;
	}

	const [oldest] = speeds.keys();
	if (speeds.size >= maximumInstances && oldest !== undefined) {
		speeds.delete(oldest);
	}

	const created: InstanceSpeed = {
		evidence: 0, suspectedAt: undefined, ratios: [], judgedAt: Number.NEGATIVE_INFINITY, ratio: 0, drift: undefined, isSlow: false, allowance: 0, pausedUntil: 0, slowAt: Number.NEGATIVE_INFINITY,
	};
	speeds.set(key, created);
	return created;
}
