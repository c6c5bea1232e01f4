import {type BurstPattern} from './burst-pattern.js';
import {type StoredBursts} from './stored-bursts.js';

/**
 * Encodes what was learned of bursts for the next owner of the schedule. Local times become times of day, because the next
 * owner has another local clock.
 *
 * @param pattern - bursts of all pools so far
 * @param time - local time and time of day in milliseconds
 * @returns the stored form, undefined if no pool has had a burst
 * @example
 * encodeBursts(scheduler.burstPattern, {now, timeOfDay});
 */
export function encodeBursts(pattern: BurstPattern, {now, timeOfDay}: {now: number; timeOfDay: number}): StoredBursts | undefined {
	const {pools, profiles, intervals, lastStartedAt, streak} = pattern;
	if (lastStartedAt === undefined) {
		return undefined;
	}

	const convertTime = (time: number): number => Math.round(time - now + timeOfDay);
	return {
		pools: [...pools].map(([name, {isActive, startedAt, endedAt, peak, height, step}]) => [name, isActive, convertTime(startedAt), convertTime(endedAt), Math.round(peak), Math.round(height), Math.round(step)]),
		profiles: [...profiles].map(([name, {criticalPathMs, slackMs, work, quietArrivals, quietMs}]) => [name, Math.round(criticalPathMs), Math.round(slackMs), Math.round(work), Math.round(quietArrivals * 100) / 100, Math.round(quietMs)]),
		intervals: intervals.map(interval => Math.round(interval)),
		lastStartedAt: convertTime(lastStartedAt),
		streak,
	};
}
