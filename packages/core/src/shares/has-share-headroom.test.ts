import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type WorkClass} from '../catalogue/schema.js';
import {createNode} from '../node/create-node.js';
import {getOrCreateAccount} from './get-or-create-account.js';
import {getOrCreatePool} from './get-or-create-pool.js';
import {hasShareHeadroom} from './has-share-headroom.js';

// Guards against urgent work that waits for seconds while its team pays back the debt of its bulk work, and against
// reserved slots in a pool without urgent work.
const cases: ReadonlyArray<{name: string; workClass: WorkClass; reservedSlots: number; credit: number; running: number; expected: boolean}> = [
	{
		name: 'urgent work of a team in debt', workClass: 'urgent', reservedSlots: 2, credit: -5000, running: 1, expected: true,
	},
	// With a debt of 5000 slot-milliseconds, which is 5 slots, this task would start: 1.5 is less than 7 - 5.
	{
		name: 'standard work of a team in debt', workClass: 'standard', reservedSlots: 2, credit: -7000, running: 1, expected: false,
	},
	{
		name: 'bulk work that would use a reserved slot', workClass: 'bulk', reservedSlots: 2, credit: 0, running: 6, expected: false,
	},
	{
		name: 'bulk work in a pool without reserved slots', workClass: 'bulk', reservedSlots: 0, credit: 0, running: 6, expected: true,
	},
];

for (const {name, workClass, reservedSlots, credit, running, expected} of cases) {
	test(`${expected ? 'starts' : 'holds back'} ${name}`, () => {
		const pool = getOrCreatePool(createNode({id: 'entry-1', zone: 'zone-a'}), 'web');
		Object.assign(pool, {saturated: true, capacity: 8, reservedSlots});
		Object.assign(getOrCreateAccount(pool, 'a'), {
			running, localShare: 7, localUrgentShare: 0.8, credit,
		});
		assert.equal(hasShareHeadroom(pool, 'a', workClass), expected);
	});
}
