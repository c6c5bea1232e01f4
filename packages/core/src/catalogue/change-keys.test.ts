import assert from 'node:assert/strict';
import {test} from 'node:test';
import {changeKeys, type KeyChange} from './change-keys.js';
import {generateKey, keyBytes} from './generate-key.js';
import {hashKey} from './hash-key.js';
import {teamSchema} from './schema.js';

const {hash} = generateKey(new Uint8Array(keyBytes).fill(7));
const team = teamSchema.parse({
	owner: 'o', organisation: 'main', share: 1, limits: {running: 1}, keys: {first: {hash: hashKey('a')}},
});

// Guards against a rotation that interrupts callers, and against a change that silently overwrites an existing key.
const cases: ReadonlyArray<{name: string; change: KeyChange; expected: string}> = [
	{name: 'give', change: {type: 'give', name: 'second', hash}, expected: 'first second'},
	{name: 'give an existing name', change: {type: 'give', name: 'first', hash}, expected: 'key-exists'},
	{name: 'withdraw', change: {type: 'withdraw', name: 'first'}, expected: ''},
	{name: 'withdraw a missing key', change: {type: 'withdraw', name: 'none'}, expected: 'key-missing'},
	{
		name: 'rotate with overlap', change: {
			type: 'rotate', from: 'first', name: 'second', hash,
		}, expected: 'first second',
	},
	{
		name: 'rotate a missing key', change: {
			type: 'rotate', from: 'none', name: 'second', hash,
		}, expected: 'key-missing',
	},
];

for (const {name, change, expected} of cases) {
	test(`changes keys: ${name}`, () => {
		const changed = changeKeys(team, change);
		assert.equal(changed.ok ? Object.keys(changed.team.keys).join(' ') : changed.reason, expected);
		assert.ok(!changed.ok || teamSchema.safeParse(changed.team).success);
	});
}

test('rejects too few random bytes for a key', () => {
	assert.throws(() => generateKey(new Uint8Array(8)), RangeError);
});
