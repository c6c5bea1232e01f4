import {type BurstPattern} from './burst-pattern.js';

/** Intervals that must agree before their length is used: the first one and one repetition. */
const minimumIntervals = 2;

/** Largest difference between intervals that still confirms a period, as a fraction of their mean. */
const maximumErrorFraction = 0.3;

/**
 * Predicts when the next burst of any pool begins, if the last bursts began at regular intervals.
 *
 * @param pattern - bursts of all pools so far
 * @returns local time in milliseconds and the largest deviation of an interval from their mean, or undefined without a confirmed period
 * @example
 * predictNextStart(pattern)?.at;
 */
export function predictNextStart(pattern: BurstPattern): {at: number; errorMs: number} | undefined {
	const {intervals, lastStartedAt} = pattern;
	if (lastStartedAt === undefined || intervals.length < minimumIntervals) {
		return undefined;
	}

	const mean = intervals.reduce((sum, interval) => sum + interval, 0) / intervals.length;
	const errorMs = Math.max(...intervals.map(interval => Math.abs(interval - mean)));
	return errorMs > mean * maximumErrorFraction ? undefined : {at: lastStartedAt + mean, errorMs};
}
