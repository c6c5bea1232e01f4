import {type Resources} from './configuration-schema.js';

/**
 * Tells whether needed resources fit into the available ones in every dimension.
 *
 * @param need - needed resources
 * @param room - available resources
 * @returns true if they fit
 * @example
 * isWithin(need, {cpuMillis: 64_000, memoryMb: 131_072, accelerators: 0});
 */
export function isWithin(need: Resources, room: Resources): boolean {
	return need.cpuMillis <= room.cpuMillis && need.memoryMb <= room.memoryMb && need.accelerators <= room.accelerators;
}
