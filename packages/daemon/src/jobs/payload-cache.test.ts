import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type Store} from '@rosemaryquay/core/store/store';
import {createPayloadKey} from './create-payload-key.js';
import {PayloadCache} from './payload-cache.js';

function createStore(answers: Array<Awaited<ReturnType<Store['list']>>>) {
	const state = {calls: 0};
	const store = {
		async list() {
			return answers[state.calls++];
		},
	} as unknown as Store;
	return {store, state};
}

const listing = {ok: true as const, value: {revision: 1, entries: [{key: createPayloadKey('a'), value: 'text', modRevision: 1}]}};

describe('payloads in memory', () => {
	it('guards against reading a payload once for each task of a job', async () => {
		const {store, state} = createStore([listing]);
		const payloads = new PayloadCache({store});
		assert.deepEqual(await Promise.all([payloads.read('a'), payloads.read('a')]), ['text', 'text']);
		assert.equal(payloads.read('a'), 'text');
		assert.equal(state.calls, 1);
	});

	it('guards against remembering a failed read', async () => {
		const {store} = createStore([{ok: false, reason: 'unavailable'}, listing]);
		const payloads = new PayloadCache({store});
		assert.equal(await payloads.read('a'), undefined);
		assert.equal(await payloads.read('a'), 'text');
	});

	it('forgets the payload of an ended job', () => {
		const {store} = createStore([]);
		const payloads = new PayloadCache({store});
		payloads.set('a', 'text');
		payloads.delete('a');
		assert.equal(payloads.size, 0);
	});
});
