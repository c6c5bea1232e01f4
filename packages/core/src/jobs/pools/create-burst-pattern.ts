import {type BurstPattern} from './burst-pattern.js';

/**
 * Creates the pattern of an owner that has seen no bursts yet.
 *
 * @returns the pattern
 * @example
 * createBurstPattern().pools.size; // 0
 */
export function createBurstPattern(): BurstPattern {
	return {
		pools: new Map(), profiles: new Map(), intervals: [], lastStartedAt: undefined, streak: 0,
	};
}
