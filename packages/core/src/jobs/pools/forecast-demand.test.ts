import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type Demand} from '../state/scheduler.js';
import {forecastDemand} from './forecast-demand.js';

/** Forecasts from a series of demands 150 ms apart. */
function forecastSeries(demands: readonly number[], arrivals = 10): Demand | undefined {
	let demand: Demand | undefined;
	for (const [position, currentDemand] of demands.entries()) {
		demand = forecastDemand(demand, {currentDemand, arrivals, now: position * 150});
	}

	return demand;
}

const rising = Array.from({length: 20}, (_, position) => position * 1000);

describe('forecast of the demand of a pool', () => {
	it('extrapolates a rising demand', () => {
		// Otherwise instances would be requested only after a burst has exceeded the capacity of its pool. From 19,000, the demand
		// rises by 1000 every 150 ms, so by 10,000 more to 29,000 until a requested instance is ready; the smoothing lags a little.
		const forecast = forecastSeries(rising)?.forecast ?? 0;
		assert.ok(forecast > 26_000 && forecast < 32_000, `forecast ${forecast}`);
	});

	it('forecasts a constant demand unchanged', () => {
		assert.equal(Math.round(forecastSeries(Array.from({length: 40}, () => 5000))?.forecast ?? 0), 5000);
	});

	it('does not extrapolate a falling demand', () => {
		assert.equal(forecastSeries(rising.toReversed())?.forecast, 0);
	});

	it('does not extrapolate the rise caused by a single large job', () => {
		assert.equal(forecastSeries([0, 0, 0, 20_000], 1)?.forecast, 20_000);
	});
});
