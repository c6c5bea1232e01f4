/** Forecasts of a pool that are still to be compared, oldest first, and the smoothed difference from the demand, in thousandths of a core. */
export type ForecastError = {readonly open: ReadonlyArray<{readonly at: number; readonly forecast: number}>; readonly error: number};

/** Time after which a forecast is compared with the demand; its horizon. */
const horizonMs = 1500;

/** Weight of one comparison; at a plan every 150 ms, about the last three seconds count. */
const comparisonWeight = 0.05;

/**
 * Measures by how much the forecasts of a pool differ from the demand at the time for which they were made.
 *
 * @param previous - the previous measurement, if there is one
 * @param measured - the present forecast and demand in thousandths of a core, and the local time in milliseconds
 * @returns the smoothed difference and the forecasts that are still to be compared
 * @example
 * measureForecastError(undefined, {forecast: 4000, demand: 4000, now}).error; // 0
 */
export function measureForecastError(previous: ForecastError | undefined, measured: {forecast: number; demand: number; now: number}): ForecastError {
	const {forecast, demand, now} = measured;
	const open = [];
	let error = previous?.error ?? 0;
	for (const made of previous?.open ?? []) {
		if (now - made.at < horizonMs) {
			open.push(made);
		} else {
			error += (Math.abs(made.forecast - demand) - error) * comparisonWeight;
		}
	}

	open.push({at: now, forecast});
	return {open, error};
}
