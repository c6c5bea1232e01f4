import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ReturnSchedule} from './return-schedule.js';

describe('ReturnSchedule', () => {
	it('guards against callers that all return at once: those refused first return first, as fast as they can be served', () => {
		const schedule = new ReturnSchedule();
		const returns = Array.from({length: 8}, (_, position) => schedule.add({
			queue: 'plans', roomInMs: 1500, serviceMs: 500, now: position,
		}));
		assert.deepEqual(returns, [2, 2, 3, 3, 4, 4, 5, 5]);
	});

	it('guards against a Retry-After of 0 and one beyond 30 seconds', () => {
		const schedule = new ReturnSchedule();
		assert.equal(schedule.add({
			queue: 'plans', roomInMs: 0, serviceMs: 500_000, now: 0,
		}), 1);
		assert.equal(schedule.add({
			queue: 'plans', roomInMs: 0, serviceMs: 1, now: 0,
		}), 30);
	});

	it('guards against a job with a huge estimate that keeps the others of its queue away for longer than the longest Retry-After', () => {
		const schedule = new ReturnSchedule();
		schedule.add({
			queue: 'plans', roomInMs: 0, serviceMs: 1e9, now: 0,
		});
		assert.equal(schedule.add({
			queue: 'plans', roomInMs: 2000, serviceMs: 1, now: 31_000,
		}), 2);
	});
});
