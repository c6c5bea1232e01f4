import assert from 'node:assert/strict';
import {test} from 'node:test';
import {parseBucket} from './parse-bucket.js';

const record = {
	key: 'team-a/k', fingerprint: 'f', claim: 'entry-1/r-1', holder: 'entry-1', state: 'open', deadlineAt: 1,
};

// Guards against foreign content under a bucket key that is parsed as claims or overwritten.
const contents: ReadonlyArray<{name: string; value: string; records: number | undefined}> = [
	{name: 'one claim', value: JSON.stringify([record]), records: 1},
	{name: 'no claims', value: '[]', records: 0},
	{name: 'not JSON', value: 'x', records: undefined},
	{name: 'not a list', value: '{}', records: undefined},
	{name: 'an unknown state', value: JSON.stringify([{...record, state: 'done'}]), records: undefined},
	{name: 'a missing holder', value: JSON.stringify([{...record, holder: undefined}]), records: undefined},
];

for (const {name, value, records} of contents) {
	test(`parses a bucket with ${name}`, () => {
		const bucket = parseBucket({key: 'claims/0/0', value, modRevision: 7});
		assert.deepEqual([bucket.modRevision, bucket.records?.size], [7, records]);
	});
}

test('parses an absent key as an empty bucket', () => {
	assert.deepEqual(parseBucket(undefined), {modRevision: 0, records: new Map()});
});
