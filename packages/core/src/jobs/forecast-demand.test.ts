import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {forecastDemand} from './forecast-demand.js';
import {type Demand} from './scheduler.js';

/** Measures a course of demands 150 ms apart. */
function follow(course: readonly number[], arrivals = 10): Demand | undefined {
	let demand: Demand | undefined;
	for (const [position, arriving] of course.entries()) {
		demand = forecastDemand(demand, {arriving, arrivals, now: position * 150});
	}

	return demand;
}

const rising = Array.from({length: 20}, (_, position) => position * 1000);

describe('forecast of the demand of a pool', () => {
	it('guards against calling instances in only after a burst has outgrown its pool', () => {
		// The demand rises by 1000 in 150 ms, so that it will have risen by 10,000 more when an instance arrives.
		const forecast = follow(rising)?.forecast ?? 0;
		assert.ok(forecast > 26_000 && forecast < 32_000, `forecast ${forecast}`);
	});

	it('forecasts a steady demand as it is', () => {
		assert.equal(Math.round(follow(Array.from({length: 40}, () => 5000))?.forecast ?? 0), 5000);
	});

	it('guards against keeping instances for a demand that falls', () => {
		assert.equal(follow(rising.toReversed())?.forecast, 0);
	});

	it('guards against taking one large job for a burst', () => {
		assert.equal(follow([0, 0, 0, 20_000], 1)?.forecast, 20_000);
	});
});
