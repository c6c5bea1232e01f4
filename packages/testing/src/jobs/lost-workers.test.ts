import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {simulateLostWorkers} from './simulate-lost-workers.js';

describe('drawn losses of workers and changes of the owner beside long-running tasks', () => {
	for (const areInstancesListed of [true, false]) {
		for (let seed = 1; seed <= 40; seed++) {
			it(`guards against long-running tasks that wait although there is room: seed ${seed}, instances ${areInstancesListed ? 'listed' : 'not listed'}`, () => {
				const {fleet, late} = simulateLostWorkers(seed, {areInstancesListed});
				assert.deepEqual(late, []);
				assert.deepEqual(fleet.checker.violations, []);
			});
		}
	}
});
