import assert from 'node:assert/strict';
import {test} from 'node:test';
import {CallRateLimiter} from './call-rate-limiter.js';

test('limits the call rate of a process, so that it cannot use up the capacity of the store', () => {
	const limiter = new CallRateLimiter({callsPerSecond: 10, burst: 5});
	const taken = (at: number): number => Array.from({length: 20}, () => limiter.tryAcquire(at)).filter(Boolean).length;
	assert.deepEqual([taken(0), taken(100), taken(10_000)], [5, 1, 5]);
	assert.deepEqual({calls: limiter.admittedCalls, refused: limiter.refusedCalls}, {calls: 11, refused: 49});
});
