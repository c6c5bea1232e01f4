import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {maximumRetryBackoffMs, retryBackoffMs} from '../constants.js';

/**
 * Computes the delay before a retry: exponential backoff with a jitter of up to half the delay, so that
 * requests that failed together are not retried together.
 *
 * @param random - the random generator, which advances
 * @param attempts - attempts made so far, at least 1
 * @returns the delay in milliseconds
 * @example
 * const delayMs = computeBackoff(node.random, 1);
 */
export function computeBackoff(random: RandomGenerator, attempts: number): number {
	const maximumDelayMs = Math.min(maximumRetryBackoffMs, retryBackoffMs * (2 ** (attempts - 1)));
	return uniformInt(random, Math.ceil(maximumDelayMs / 2), maximumDelayMs);
}
