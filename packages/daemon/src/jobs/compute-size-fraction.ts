import {type ProcessSettings} from './process-settings.js';

/** Processor time in cores, and link in Mbit/s, from which an instance is large enough to own the schedule of any system. */
const ampleCores = 1;
const ampleLinkMegabitsPerSecond = 50;

/**
 * Computes which part of an ample instance a given one is, by the scarcer of processor time and link.
 *
 * @param size - size of the instance
 * @returns fraction, at most 1
 * @example
 * computeSizeFraction({cores: 0.3, linkMegabitsPerSecond: 20}); // 0.3
 */
export function computeSizeFraction({cores, linkMegabitsPerSecond}: ProcessSettings['size']): number {
	return Math.min(1, cores / ampleCores, linkMegabitsPerSecond / ampleLinkMegabitsPerSecond);
}
