import {type BurstPattern} from './burst-pattern.js';
import {storedBurstsSchema} from './stored-bursts.js';

/**
 * Restores what the former owner has learned of bursts. A stored form that can't be read is ignored, since only accuracy
 * depends on it.
 *
 * @param pattern - pattern of the new owner; changed
 * @param stored - the stored form; undefined if there is none
 * @param time - local time and time of day in milliseconds
 * @returns false if there is a stored form and it can't be read
 * @example
 * restoreBursts(scheduler.burstPattern, summary.bursts, {now, timeOfDay});
 */
export function restoreBursts(pattern: BurstPattern, stored: unknown, {now, timeOfDay}: {now: number; timeOfDay: number}): boolean {
	if (stored === undefined) {
		return true;
	}

	const parsed = storedBurstsSchema.safeParse(stored);
	if (!parsed.success) {
		return false;
	}

	const {pools, profiles, intervals, lastStartedAt, streak} = parsed.data;
	// The clock of the former owner may have been ahead; no burst has begun in the future.
	const convertTime = (time: number): number => now - Math.max(0, timeOfDay - time);
	for (const [name, isActive, startedAt, endedAt, peak, height, step] of pools) {
		pattern.pools.set(name, {
			isActive, startedAt: convertTime(startedAt), endedAt: convertTime(endedAt), peak, height, step,
		});
	}

	for (const [name, criticalPathMs, slackMs, work, quietArrivals, quietMs] of profiles) {
		pattern.profiles.set(name, {
			criticalPathMs, slackMs, work, quietArrivals, quietMs, measuredAt: now,
		});
	}

	pattern.intervals.push(...intervals);
	pattern.lastStartedAt = convertTime(lastStartedAt);
	pattern.streak = streak;
	return true;
}
