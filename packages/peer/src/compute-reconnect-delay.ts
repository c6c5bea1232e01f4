import {firstReconnectMs, longestReconnectMs} from './constants.js';

/**
 * Computes how long to wait before the next connection attempt: exponential, with full jitter.
 *
 * @param failures - attempts that have failed in a row
 * @param random - a random number from 0 to 1
 * @returns the delay in milliseconds
 * @example
 * computeReconnectDelay(3, Math.random());
 */
export function computeReconnectDelay(failures: number, random: number): number {
	const ceiling = Math.min(longestReconnectMs, firstReconnectMs * (2 ** Math.min(failures, 16)));
	return firstReconnectMs + (random * (ceiling - firstReconnectMs));
}
