import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type ForecastError, measureForecastError} from './measure-forecast-error.js';

function measure(getForecast: (now: number) => number): ForecastError | undefined {
	let measured: ForecastError | undefined;
	for (let now = 0; now <= 60_000; now += 150) {
		measured = measureForecastError(measured, {forecast: getForecast(now), demand: 4000, now});
	}

	return measured;
}

describe('error of the forecast of a pool', () => {
	it('is the difference from the demand at the time of the forecast', () => {
		assert.equal(measure(() => 4000)?.error, 0);
		assert.equal(Math.round(measure(() => 6000)?.error ?? 0), 2000);
	});

	it('guards against memory that grows with the number of forecasts', () => {
		assert.ok((measure(() => 4000)?.open.length ?? 0) <= 11);
	});
});
