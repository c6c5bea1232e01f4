import {type Incarnation} from '../state/instance.js';

/**
 * Tells whether two incarnations are the same life of the same worker.
 *
 * @param left - an incarnation, if there is one
 * @param right - another one
 * @returns false unless both exist and are equal
 * @example
 * isSameIncarnation(getIncarnation(worker), move.incarnation);
 */
export function isSameIncarnation(left: Incarnation | undefined, right: Incarnation | undefined): boolean {
	return left !== undefined && left.worker === right?.worker && left.startedAtMs === right.startedAtMs;
}
