import assert from 'node:assert/strict';
import {test} from 'node:test';
import {buildBucketKey} from './build-bucket-key.js';

// Guards against two instances, or two versions of the program, that look for the same claim under different store keys.
test('maps a claim key to the same bucket in every version', () => {
	assert.equal(buildBucketKey('rosemaryquay/', 'team-a/order-7'), 'rosemaryquay/claims/28/62');
});

// Guards against large writes because many claims share a bucket.
test('distributes similar keys evenly over the buckets', () => {
	const counts = new Map<string, number>();
	for (let index = 0; index < 40_960; index++) {
		const key = buildBucketKey('', `team-a/order-${index}`);
		counts.set(key, (counts.get(key) ?? 0) + 1);
	}

	assert.equal(counts.size, 4096);
	assert.ok(Math.max(...counts.values()) <= 30);
});
