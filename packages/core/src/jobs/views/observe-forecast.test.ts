import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type ForecastHistory} from './view-state.js';
import {observeForecast} from './observe-forecast.js';

function observe(forecasts: readonly number[], smoothed: readonly number[]): number {
	const history: ForecastHistory = {forecasts: [], errors: []};
	let error = 0;
	for (const [position, forecast] of forecasts.entries()) {
		error = observeForecast(history, {measuredAt: position, smoothed: smoothed[position] ?? 0, forecast});
	}

	return error;
}

describe('error of the forecast', () => {
	it('compares a forecast with the demand at the time that it was made for, not with that when it was made', () => {
		assert.equal(observe([3000, 3000, 3000], [0, 0, 3000]), 0);
		assert.equal(observe([3000, 0, 0], [3000, 1000, 1000]), 2000);
	});

	it('guards against a view that changes for ever: a constant demand leaves no error after some seconds', () => {
		const count = 20;
		assert.equal(observe([9000, ...Array.from({length: count}, () => 1000)], Array.from({length: count + 1}, () => 1000)), 0);
	});
});
