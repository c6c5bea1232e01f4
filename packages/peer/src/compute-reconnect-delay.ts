import {minimumReconnectDelayMs, maximumReconnectDelayMs} from './constants.js';

/**
 * Computes the delay before the next connection attempt: exponential backoff, drawn at random between the minimum delay and the current ceiling.
 *
 * @param failures - consecutive failed attempts
 * @param random - a random number from 0 to 1
 * @returns the delay in milliseconds
 * @example
 * computeReconnectDelay(3, Math.random());
 */
export function computeReconnectDelay(failures: number, random: number): number {
	// The exponent is bounded to keep the power finite; the maximum delay is reached after 6 failures.
	const ceiling = Math.min(maximumReconnectDelayMs, minimumReconnectDelayMs * (2 ** Math.min(failures, 16)));
	return minimumReconnectDelayMs + (random * (ceiling - minimumReconnectDelayMs));
}
