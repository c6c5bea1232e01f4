import {type Demand} from '../state/scheduler.js';
import {type ForecastHistory} from './view-state.js';

/** Age of the forecast that is compared with the demand, in publications of the view (1 s each). A forecast is made for 1.5 s later, and the smoothed demand is about that of 0.5 to 1 s ago. */
const forecastAge = 2;

/** Number of compared forecasts in the mean; with a constant demand, the error and thus the view stop changing after as many seconds. */
const maximumErrors = 10;

/**
 * Compares an earlier forecast of the demand on a pool with the demand that came, and adds the present one.
 *
 * @param history - forecasts and errors of the pool; changed
 * @param demand - present demand and forecast
 * @returns the mean absolute error of the last forecasts, in thousandths of a core
 * @example
 * observeForecast({forecasts: [4000, 5000], errors: []}, demand);
 */
export function observeForecast(history: ForecastHistory, {smoothed, forecast}: Demand): number {
	const {forecasts, errors} = history;
	forecasts.push(forecast);
	if (forecasts.length > forecastAge) {
		const earlier = forecasts.shift() ?? 0;
		errors.push(Math.abs(earlier - smoothed));
	}

	if (errors.length > maximumErrors) {
		errors.shift();
	}

	return errors.length === 0 ? 0 : errors.reduce((sum, error) => sum + error, 0) / errors.length;
}
