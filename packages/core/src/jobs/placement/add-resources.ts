import {type Resources} from '../state/configuration-schema.js';

/**
 * Adds resources, or subtracts them with a negative factor.
 *
 * @param left - first summand
 * @param right - second summand
 * @param factor - multiplies the second summand
 * @returns the sum
 * @example
 * addResources(used, need, -1);
 */
export function addResources(left: Resources, right: Resources, factor = 1): Resources {
	return {
		cpuMillis: left.cpuMillis + (factor * right.cpuMillis),
		memoryMb: left.memoryMb + (factor * right.memoryMb),
		accelerators: left.accelerators + (factor * right.accelerators),
	};
}
