import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {simulateDrawnFleet} from './simulate-drawn-fleet.js';

describe('starts after the end of the traffic', () => {
	it('guards against tasks that wait for ever beside idle workers, after losses, silent workers, moves and takeovers', () => {
		for (let seed = 1; seed <= 20; seed++) {
			assert.deepEqual(simulateDrawnFleet(seed, {longRunning: true}).late, [], `seed ${seed}`);
		}
	});
});
