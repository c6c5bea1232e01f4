import {type Resources} from '../state/configuration-schema.js';

/**
 * Tells whether needed resources fit into the available ones in every dimension.
 *
 * @param need - needed resources
 * @param available - available resources
 * @returns true if they fit
 * @example
 * fitsInto(need, {cpuMillis: 64_000, memoryMb: 131_072, accelerators: 0});
 */
export function fitsInto(need: Resources, available: Resources): boolean {
	return need.cpuMillis <= available.cpuMillis && need.memoryMb <= available.memoryMb && need.accelerators <= available.accelerators;
}
