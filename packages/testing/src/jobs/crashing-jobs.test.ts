import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {simulateCrashingJobs} from './simulate-crashing-jobs.js';

const seeds = [1, 2, 3];

/** Part of the sound jobs that crashing jobs may keep from being served; the target of docs/design/hard-load.md. */
const targetLoss = 0.03;

describe('crashing jobs under load', () => {
	it('guards against sound jobs that are not served because of crashing jobs', () => {
		for (const seed of seeds) {
			const [present, absent] = [true, false].map(hasCrashingJobs => simulateCrashingJobs(seed, {hasCrashingJobs, faults: 'none'}));
			assert.ok(present !== undefined && absent !== undefined);
			assert.deepEqual(present.fleet.checker.violations, [], `seed ${seed}`);
			assert.ok(present.served / present.sound >= (absent.served / absent.sound) - targetLoss, `seed ${seed}: served ${present.served} of ${present.sound} and ${absent.served} of ${absent.sound}`);
		}
	});

	it('guards against failing sound jobs, losing jobs and starting tasks again beside takeovers', () => {
		for (const seed of seeds) {
			const {fleet, wronglyFailed} = simulateCrashingJobs(seed);
			assert.deepEqual(fleet.checker.violations, [], `seed ${seed}`);
			assert.deepEqual(wronglyFailed, [], `seed ${seed}`);
			assert.deepEqual(fleet.unfinishedJobs, [], `seed ${seed}`);
		}
	});
});
