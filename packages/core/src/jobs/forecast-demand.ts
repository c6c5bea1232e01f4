import {type Demand} from './scheduler.js';

/** Time over which the demand is smoothed; its distance from the smoothed value is the rise within that time. */
const smoothingMs = 1000;

/** Time ahead that the forecast looks: an instance takes about that long to move and to register. */
const horizonMs = 1500;

/** Jobs within the last second from which on a rise is a trend; a single large job is none. */
const trendArrivals = 2;

/**
 * Forecasts the demand of a pool from its rise within the last second. A falling demand is not extrapolated.
 *
 * @param before - the forecast before, if there is one
 * @param measured - demand of the arriving jobs in thousandths of a core, number of those jobs, and local time in milliseconds
 * @returns the smoothed demand and the forecast
 * @example
 * forecastDemand(undefined, {arriving: 4000, arrivals: 3, now}).forecast; // 4000
 */
export function forecastDemand(before: Demand | undefined, measured: {arriving: number; arrivals: number; now: number}): Demand {
	const {arriving, arrivals, now} = measured;
	if (before === undefined) {
		return {measuredAt: now, smoothed: arriving, forecast: arriving};
	}

	const weight = 1 - Math.exp((before.measuredAt - now) / smoothingMs);
	const smoothed = before.smoothed + ((arriving - before.smoothed) * weight);
	const rise = arrivals < trendArrivals ? 0 : Math.max(0, arriving - smoothed);
	return {measuredAt: now, smoothed, forecast: arriving + (rise * horizonMs / smoothingMs)};
}
