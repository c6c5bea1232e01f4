import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createNode} from '../node/create-node.js';
import {addRetryTokens} from './add-retry-tokens.js';
import {takeRetryToken} from './take-retry-token.js';

// Guards against a failing pool that uses up the retry budget of the other pools.
test('takes retry tokens from the budget of one pool only', () => {
	const node = createNode({id: 'entry-1', zone: 'zone-a'});
	assert.deepEqual([takeRetryToken(node, 'bad'), takeRetryToken(node, 'bad'), takeRetryToken(node, 'good')], [true, false, true]);
});

// Guards against more retries than a tenth of the successful requests, and against a burst of retries after a time without failures.
test('adds one retry for ten successful requests, up to a limit', () => {
	const node = createNode({id: 'entry-1', zone: 'zone-a'});
	const count = (): number => {
		let taken = 0;
		while (takeRetryToken(node, 'web')) {
			taken += 1;
		}

		return taken;
	};

	count();
	for (let index = 0; index < 55; index++) {
		addRetryTokens(node, 'web');
	}

	assert.equal(count(), 5);
	for (let index = 0; index < 5000; index++) {
		addRetryTokens(node, 'web');
	}

	assert.equal(count(), 20);
});
