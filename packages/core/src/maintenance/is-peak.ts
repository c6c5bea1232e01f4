import {type PoolRules} from './planner.js';

const millisecondsPerHour = 3_600_000;
const hoursPerDay = 24;

/**
 * Tells whether a time is within a pool's peak hours. A range whose end is not after its start spans midnight.
 *
 * @param rules - the pool's rules
 * @param utcMs - the time, in UTC milliseconds
 * @returns whether the time is within the peak hours, in which maintenance steps of a plan neither start nor are expected to end
 * @example
 * isPeak({services: [], unavailable: 1, peakHours: [{from: 6, to: 9}]}, Date.UTC(2026, 0, 1, 7)); // true
 */
export function isPeak(rules: PoolRules, utcMs: number): boolean {
	const hour = Math.floor(utcMs / millisecondsPerHour) % hoursPerDay;
	return rules.peakHours.some(({from, to}) => (from < to ? hour >= from && hour < to : hour >= from || hour < to));
}
