import {type CapacityForecast} from './measure-capacity-forecast.js';

/**
 * Measures how long a service needs for an amount of work at full use of its capacity.
 *
 * @param work - thousandths of a core times milliseconds
 * @param forecast - capacity of the service
 * @returns milliseconds
 * @example
 * measureServiceTime(32_000_000, {presentCpuMillis: 16_000, laterCpuMillis: 16_000, laterMs: 1500}); // 1750
 */
export function measureServiceTime(work: number, {presentCpuMillis, laterCpuMillis, laterMs}: CapacityForecast): number {
	const workBefore = presentCpuMillis * laterMs;
	return work <= workBefore ? work / Math.max(1, presentCpuMillis) : laterMs + ((work - workBefore) / (presentCpuMillis + laterCpuMillis));
}
