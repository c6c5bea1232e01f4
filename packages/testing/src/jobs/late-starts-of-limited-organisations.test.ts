import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {simulateDrawnFleet} from './simulate-drawn-fleet.js';

describe('starts of limited organisations after the end of the traffic', () => {
	for (const seed of [20, 30, 33, 43, 51]) {
		it(`guards against tasks that never start although less than half of the upper limit is in use: seed ${seed}`, () => {
			assert.deepEqual(simulateDrawnFleet(seed, {limits: true, longRunning: true}).late, []);
		});
	}
});
