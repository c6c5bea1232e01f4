import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {simulateDrawnFleet} from './simulate-drawn-fleet.js';

describe('starts beside jobs that crash their workers, after the end of the traffic', () => {
	for (const seed of [12, 15, 19, 21, 24, 30, 46, 47, 48, 49, 57]) {
		it(`guards against sound tasks that wait for isolation, or crash with others again and again: seed ${seed}`, () => {
			assert.deepEqual(simulateDrawnFleet(seed, {crashing: true}).late, []);
		});
	}

	for (const seed of [11, 15, 21, 35, 39, 42, 55, 58]) {
		it(`guards against long-running tasks that wait for isolation one after another: seed ${seed}`, () => {
			assert.deepEqual(simulateDrawnFleet(seed, {crashing: true, longRunning: true}).late, []);
		});
	}
});
