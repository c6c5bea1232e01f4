import {type BurstPattern} from './burst-pattern.js';

/** Fraction of the threshold below which a burst has ended; well below 1, so that a demand near the threshold is one burst and not many. */
const endFraction = 0.5;

/** Time in milliseconds before which a burst does not end; the measured demand rises to its height within about that time. */
const minimumBurstMs = 600;

/** Intervals between bursts that are kept; few, so that a change of the pattern soon shows. */
const keptIntervals = 4;

/** Correct predictions in a row that count; a longer history does not delay the loss of trust. */
const maximumStreak = 4;

/**
 * Records the demand on a pool and detects the start and the end of its bursts. A burst on a pool that was not expected to
 * be next shows that the order of the pools has changed, and discards what was learned of the order and the intervals.
 *
 * @param pattern - bursts of all pools so far; changed
 * @param pool - name of the pool
 * @param measured - demand of arriving jobs and the demand from which it counts as a burst, both in thousandths of a core; smoothed demand, demand to serve at once if the arrivals show the start of a burst, whether the pool was expected to be among the next ones; local time in milliseconds
 * @example
 * observeBurst(pattern, 'planner', {demand: 90_000, threshold: 60_000, isExpected: true, now});
 */
export function observeBurst(pattern: BurstPattern, pool: string, measured: {demand: number; smoothed?: number; threshold: number; step?: number; isExpected: boolean; now: number}): void {
	const {demand, smoothed = demand, threshold, step = 0, isExpected, now} = measured;
	const known = pattern.pools.get(pool);
	if (known?.isActive) {
		known.peak = Math.max(known.peak, demand);
		known.height = Math.max(known.height, smoothed);
		if (demand < threshold * endFraction && now - known.startedAt > minimumBurstMs) {
			known.isActive = false;
			known.endedAt = now;
		}

		return;
	}

	if (demand <= threshold && step === 0) {
		return;
	}

	// A short fall of the demand does not end a burst while no other pool has one.
	if (known !== undefined && known.startedAt === pattern.lastStartedAt) {
		known.isActive = true;
		return;
	}

	if (known === undefined) {
		// A pool without an earlier burst was not part of the order.
		pattern.streak = Math.min(0, pattern.streak);
	} else {
		pattern.streak = isExpected ? Math.min(maximumStreak, pattern.streak + 1) : -pattern.pools.size;
		pattern.intervals.length = isExpected ? pattern.intervals.length : 0;
	}

	if (pattern.lastStartedAt !== undefined) {
		pattern.intervals.push(now - pattern.lastStartedAt);
		pattern.intervals.splice(0, pattern.intervals.length - keptIntervals);
	}

	pattern.lastStartedAt = now;
	pattern.pools.set(pool, {
		isActive: true, startedAt: now, endedAt: now, peak: demand, height: smoothed, step,
	});
}
