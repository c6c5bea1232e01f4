import {type CapacityForecast} from './measure-capacities.js';

/** Time in milliseconds that a move of an instance to another pool takes at least. */
const moveMs = 1500;

/**
 * Measures how long a service needs for an amount of work at full use of its capacity.
 *
 * @param work - thousandths of a core times milliseconds
 * @param forecast - capacity of the service
 * @returns milliseconds
 * @example
 * measureServiceTime(32_000_000, {presentCpuMillis: 16_000, laterCpuMillis: 16_000, freeCpuMillis: 0}); // 1750
 */
export function measureServiceTime(work: number, {presentCpuMillis, laterCpuMillis}: CapacityForecast): number {
	const workBefore = presentCpuMillis * moveMs;
	return work <= workBefore ? work / Math.max(1, presentCpuMillis) : moveMs + ((work - workBefore) / Math.max(1, presentCpuMillis + laterCpuMillis));
}
