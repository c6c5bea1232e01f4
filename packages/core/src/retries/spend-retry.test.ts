import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createNode} from '../node/create-node.js';
import {earnRetry} from './earn-retry.js';
import {spendRetry} from './spend-retry.js';

// Guards against a failing pool that uses up the retries of the others.
test('takes retries from the budget of one pool alone', () => {
	const node = createNode({id: 'entry-1', zone: 'zone-a'});
	assert.deepEqual([spendRetry(node, 'bad'), spendRetry(node, 'bad'), spendRetry(node, 'good')], [true, false, true]);
});

// Guards against more retries than a tenth of the successful requests, and against a burst after a quiet time.
test('earns one retry for ten successes, up to a limit', () => {
	const node = createNode({id: 'entry-1', zone: 'zone-a'});
	const count = (): number => {
		let spent = 0;
		while (spendRetry(node, 'web')) {
			spent += 1;
		}

		return spent;
	};

	count();
	for (let index = 0; index < 55; index++) {
		earnRetry(node, 'web');
	}

	assert.equal(count(), 5);
	for (let index = 0; index < 5000; index++) {
		earnRetry(node, 'web');
	}

	assert.equal(count(), 20);
});
