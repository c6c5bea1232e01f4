import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {computeClaimDelay} from './compute-claim-delay.js';

const large = {cores: 1.35, linkMegabitsPerSecond: 200};
const small = {cores: 0.324, linkMegabitsPerSecond: 20};

/** Longest random delay and duration of a claim on a healthy store. */
const claimMs = 100;

describe('delay of a claim', () => {
	it('guards against an owner on a small instance while a larger one can be reached', () => {
		const uptimeMs = 60_000;
		assert.ok(computeClaimDelay(small, {uptimeMs}) > computeClaimDelay(large, {uptimeMs}) + claimMs);
	});

	it('guards against an owner on a small instance that starts up to 0.3 s earlier than the larger ones', () => {
		assert.ok(computeClaimDelay(small, {uptimeMs: 100}) > computeClaimDelay(large, {uptimeMs: 100}) + 300 + claimMs);
	});

	it('does not delay the claims of ample instances', () => {
		assert.equal(computeClaimDelay(large, {uptimeMs: 0}), 0);
	});

	it('takes the scarcer of processor time and link', () => {
		const uptimeMs = 60_000;
		assert.equal(computeClaimDelay({cores: 4, linkMegabitsPerSecond: 20}, {uptimeMs}), computeClaimDelay({cores: 0.4, linkMegabitsPerSecond: 1000}, {uptimeMs}));
	});
});
