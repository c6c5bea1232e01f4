import assert from 'node:assert/strict';
import {test} from 'node:test';
import {CallBudget} from './call-budget.js';

test('limits the calls of one process, so that it cannot use up the store', () => {
	const budget = new CallBudget({callsPerSecond: 10, burst: 5});
	const taken = (at: number): number => Array.from({length: 20}, () => budget.take(at)).filter(Boolean).length;
	assert.deepEqual([taken(0), taken(100), taken(10_000)], [5, 1, 5]);
	assert.deepEqual({calls: budget.calls, refused: budget.refused}, {calls: 11, refused: 49});
});
