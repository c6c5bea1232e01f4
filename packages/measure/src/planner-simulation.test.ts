import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {runFaults, type FaultCase} from './maintenance/run-faults.js';

// Guards against a budget that is exceeded, an instance in two pools, and a roll-out that never ends.
function check(faults: FaultCase): void {
	const result = runFaults(faults);
	const text = JSON.stringify({faults, result});
	assert.equal(result.budgetViolations, 0, text);
	assert.equal(result.poolViolations, 0, text);
	assert.equal(result.ended, true, text);
}

test('ends roll-outs without exceeding a budget or placing an instance in two pools, under random faults', () => {
	const faults = fc.record({
		seed: fc.integer({min: 1, max: 1e6}),
		lostResponseProbability: fc.double({min: 0, max: 0.4, noNaN: true}),
		duplicateResponseProbability: fc.double({min: 0, max: 0.4, noNaN: true}),
		planners: fc.integer({min: 1, max: 3}),
		crashIntervalMs: fc.option(fc.integer({min: 120_000, max: 900_000}), {nil: undefined}),
		pauseIntervalMs: fc.option(fc.integer({min: 120_000, max: 900_000}), {nil: undefined}),
		storeOutageIntervalMs: fc.option(fc.integer({min: 300_000, max: 900_000}), {nil: undefined}),
		failuresPerDay: fc.integer({min: 0, max: 60}),
		operators: fc.boolean(),
	});
	fc.assert(fc.property(faults, check), {seed: 42, numRuns: 25, endOnFailure: true});
});
