import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {simulateRoughEstimates} from './simulate-rough-estimates.js';

const seeds = [1, 2, 3];

describe('estimates that are off by a factor of up to 2.5', () => {
	it('guards against an order of jobs under bursts that follows the callers\' estimates: with learning, more jobs end within their objective', () => {
		let learned = 0;
		let raw = 0;
		for (const seed of seeds) {
			const withLearning = simulateRoughEstimates({seed, isLearning: true});
			const withoutLearning = simulateRoughEstimates({seed, isLearning: false});
			learned += withLearning.onTime;
			raw += withoutLearning.onTime;
			const estimates = withLearning.fleet.owner?.scheduler.estimates;
			assert.ok(estimates !== undefined && estimates.errors.median < estimates.callerErrors.median / 2, `seed ${seed}`);
			assert.deepEqual(withLearning.fleet.checker.violations, []);
			assert.deepEqual(withLearning.fleet.unfinishedJobs, []);
		}

		assert.ok(learned > raw, `${learned} and ${raw} jobs`);
	});
});
