import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {slowestClockRate} from '../state/constants.js';
import {createWorker} from '../state/create-worker.js';
import {extendLease} from './extend-lease.js';

const createReadWorker = () => ({...createWorker({id: 'w1', address: '10.0.0.1:80', now: 0}), clockMs: 1000, clockReadAt: 50});

describe('extension of a lease', () => {
	it('counts from the present reading of the clock', () => {
		assert.equal(extendLease(createReadWorker(), 50, 3200), 4200);
	});

	it('guards against a lease longer than its duration on a slow clock that has not been read for long', () => {
		const elapsedMs = 60_000;
		assert.ok(extendLease(createReadWorker(), 50 + elapsedMs, 3200) <= 1000 + (elapsedMs * slowestClockRate) + 3200);
	});

	it('guards against granting a worker the longest lease that it may hold, and against forgetting that one', () => {
		const worker = {...createReadWorker(), leaseUntilMs: 9000};
		assert.equal(extendLease(worker, 50, 3200), 4200);
		assert.equal(worker.leaseUntilMs, 9000);
	});
});
