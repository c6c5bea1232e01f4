import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createBurstPattern} from './create-burst-pattern.js';
import {encodeBursts} from './encode-bursts.js';
import {observeBurst} from './observe-burst.js';
import {restoreBursts} from './restore-bursts.js';

describe('bursts that the former owner has seen', () => {
	it('guards against losing the bursts at a takeover: times refer to the clock of the new owner', () => {
		const former = createBurstPattern();
		for (const [pool, now] of [['north', 5000], ['south', 10_000]] as const) {
			observeBurst(former, pool, {
				demand: 90_000, threshold: 60_000, isExpected: true, now,
			});
		}

		const next = createBurstPattern();
		const stored = JSON.stringify(encodeBursts(former, {now: 12_000, timeOfDay: 1_000_000}));
		assert.equal(restoreBursts(next, JSON.parse(stored), {now: 100, timeOfDay: 1_001_000}), true);
		assert.deepEqual([next.lastStartedAt, next.intervals, next.pools.get('north')?.startedAt, next.pools.get('north')?.peak], [-2900, [5000], -7900, 90_000]);
	});

	it('guards against bursts in the future when the clock of the former owner was ahead', () => {
		const former = createBurstPattern();
		observeBurst(former, 'north', {
			demand: 90_000, threshold: 60_000, isExpected: true, now: 5000,
		});
		const next = createBurstPattern();
		restoreBursts(next, encodeBursts(former, {now: 5000, timeOfDay: 1_000_000}), {now: 100, timeOfDay: 990_000});
		assert.equal(next.lastStartedAt, 100);
	});

	it('guards against a takeover that fails because of an unreadable stored form', () => {
		for (const stored of [null, 1, [], {
			pools: [['north', true, 1]], intervals: [], profiles: [], lastStartedAt: 1, streak: 0,
		}, {
			pools: [], intervals: ['x'], profiles: [], lastStartedAt: 1, streak: 0,
		}]) {
			const pattern = createBurstPattern();
			assert.equal(restoreBursts(pattern, stored, {now: 0, timeOfDay: 0}), false);
			assert.equal(pattern.pools.size, 0);
		}
	});
});
