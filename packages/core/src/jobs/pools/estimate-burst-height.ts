import {type BurstPattern} from './burst-pattern.js';

/**
 * Estimates the height of the next burst of a pool: that of its last one or, before its first has ended, the highest of all
 * pools, since too small a start costs callers a move and too large a one only instance time.
 *
 * @param pattern - bursts of all pools so far
 * @param pool - name of the pool
 * @param limit - highest estimate in thousandths of a core, unlimited by default
 * @returns thousandths of a core; undefined before the first burst of any pool
 * @example
 * estimateBurstHeight(pattern, 'planner');
 */
export function estimateBurstHeight({pools}: BurstPattern, pool: string, limit = Number.POSITIVE_INFINITY): number | undefined {
	const own = pools.get(pool);
	if (own?.isActive === false) {
		return Math.min(limit, own.height);
	}

	return pools.size === 0 ? undefined : Math.min(limit, Math.max(...[...pools.values()].map(({height}) => height)));
}
