import {type Demand} from '../state/scheduler.js';

/** Time constant of the exponential smoothing; for a steady trend, the demand exceeds its smoothed value by the rise within this time. */
const smoothingMs = 1000;

/** Forecast horizon; an instance takes about this long to move and to register. */
const horizonMs = 1500;

/** Minimum number of jobs within the last second for a rise to count as a trend; a single large job is none. */
const minimumTrendArrivals = 2;

/**
 * Forecasts the demand on a pool by extrapolating its rise over the last second. A falling demand is not extrapolated.
 *
 * @param previous - the previous forecast, if there is one
 * @param measured - current demand in thousandths of a core, number of jobs that have just arrived, demand to which the rise is extrapolated at most, and local time in milliseconds
 * @returns the smoothed demand and the forecast
 * @example
 * forecastDemand(undefined, {currentDemand: 4000, arrivals: 3, now}).forecast; // 4000
 */
export function forecastDemand(previous: Demand | undefined, measured: {currentDemand: number; arrivals: number; now: number; bound?: number | undefined}): Demand {
	const {currentDemand, arrivals, now, bound = Number.POSITIVE_INFINITY} = measured;
	if (previous === undefined) {
		return {measuredAt: now, smoothed: currentDemand, forecast: currentDemand};
	}

	const weight = 1 - Math.exp((previous.measuredAt - now) / smoothingMs);
	const smoothed = previous.smoothed + ((currentDemand - previous.smoothed) * weight);
	const rise = arrivals < minimumTrendArrivals ? 0 : Math.max(0, currentDemand - smoothed);
	return {measuredAt: now, smoothed, forecast: Math.max(currentDemand, Math.min(bound, currentDemand + (rise * horizonMs / smoothingMs)))};
}
