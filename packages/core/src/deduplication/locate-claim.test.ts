import assert from 'node:assert/strict';
import {test} from 'node:test';
import {locateClaim} from './locate-claim.js';

// Guards against two instances, or two versions of the program, that look for one claim in different places.
test('places a claim in the same bucket always', () => {
	assert.equal(locateClaim('rosemaryquay/', 'team-a/order-7'), 'rosemaryquay/claims/28/62');
});

// Guards against writes that grow because many claims share a bucket.
test('spreads similar keys over the buckets', () => {
	const counts = new Map<string, number>();
	for (let index = 0; index < 40_960; index++) {
		const key = locateClaim('', `team-a/order-${index}`);
		counts.set(key, (counts.get(key) ?? 0) + 1);
	}

	assert.equal(counts.size, 4096);
	assert.ok(Math.max(...counts.values()) <= 30);
});
