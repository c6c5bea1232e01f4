import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {detectOnset} from './detect-onset.js';

const work = 16_000_000;
const createArrivals = (times: readonly number[]) => times.map(at => ({at, work}));

describe('start of a burst by its arrivals', () => {
	it('shows a burst on a quiet pool within its first jobs', () => {
		const demand = detectOnset(createArrivals([0, 60, 110, 170]), {quietRate: 0.0005, now: 200});
		// About 17 jobs per second of 16 core-seconds.
		assert.ok(demand > 150_000 && demand < 400_000, String(demand));
	});

	it('guards against a first step for jobs that the quiet rate explains', () => {
		assert.equal(detectOnset(createArrivals([0, 900]), {quietRate: 0.0005, now: 1000}), 0);
		assert.equal(detectOnset(createArrivals([0, 700, 1400, 1900]), {quietRate: 0.0015, now: 2000}), 0);
		assert.equal(detectOnset(createArrivals([0, 50, 90, 160, 210, 260]), {quietRate: 0.02, now: 300}), 0);
		assert.equal(detectOnset([], {quietRate: 0.0005, now: 0}), 0);
	});
});
