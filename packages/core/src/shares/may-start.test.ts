import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type WorkClass} from '../catalogue/schema.js';
import {createNode} from '../node/create-node.js';
import {findAccount} from './find-account.js';
import {findPool} from './find-pool.js';
import {mayStart} from './may-start.js';

// Guards against urgent work that waits for seconds until its team has made up for bulk work, and against a reserve in a pool without urgent work.
const cases: ReadonlyArray<{name: string; workClass: WorkClass; reserve: number; credit: number; running: number; expected: boolean}> = [
	{
		name: 'urgent work of a team in debt', workClass: 'urgent', reserve: 2, credit: -5000, running: 1, expected: true,
	},
	{
		name: 'standard work of a team in debt', workClass: 'standard', reserve: 2, credit: -7000, running: 1, expected: false,
	},
	{
		name: 'bulk work that would use the reserve', workClass: 'bulk', reserve: 2, credit: 0, running: 6, expected: false,
	},
	{
		name: 'bulk work in a pool without a reserve', workClass: 'bulk', reserve: 0, credit: 0, running: 6, expected: true,
	},
];

for (const {name, workClass, reserve, credit, running, expected} of cases) {
	test(`${expected ? 'starts' : 'holds back'} ${name}`, () => {
		const pool = findPool(createNode({id: 'entry-1', zone: 'zone-a'}), 'web');
		Object.assign(pool, {full: true, capacity: 8, reserve});
		Object.assign(findAccount(pool, 'a'), {
			running, part: 7, urgentPart: 0.8, credit,
		});
		assert.equal(mayStart(pool, 'a', workClass), expected);
	});
}
