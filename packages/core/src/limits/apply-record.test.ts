import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createNode} from '../node/create-node.js';
import {reduce} from '../node/reduce.js';
import {applyRecord} from './apply-record.js';

const value = JSON.stringify({
	limit: 10, revision: 1, portions: {
		'entry-2': {
			count: 5, wanted: 5, write: 1, registration: 'l-2',
		},
	},
});

function createTestNode() {
	const node = createNode({id: 'entry-1', zone: 'zone-a'});
	node.limits.teams.set('main', {
		averageDemand: 0, averagedAt: 0, lastFullDemandAt: 0, plannedAt: 0, calledAt: 0,
	});
	return node;
}

// Guards against a reclaim delay that begins before any member list has shown the holder to be absent.
test('starts no reclaim delay for a holder before the first member list', () => {
	const node = createTestNode();
	assert.ok(applyRecord(node, 'main', {value, modRevision: 2}));
	assert.equal(node.limits.liveness.absentSince.size, 0);
	reduce(node, {type: 'members-observed', at: 5, present: [{id: 'entry-1', registration: 'l-1'}]});
	applyRecord(node, 'main', {value, modRevision: 2});
	assert.deepEqual([...node.limits.liveness.absentSince], [['entry-2/l-2', 5]]);
});

// Guards against an invalid record that crashes the process or grants capacity.
for (const invalid of ['', '{', '{"limit":-1}', '{"limit":5,"revision":1,"portions":{"entry-1":{"count":9}}}']) {
	test(`takes no portion from an invalid record: ${invalid}`, () => {
		const node = createTestNode();
		assert.equal(applyRecord(node, 'main', {value: invalid, modRevision: 2}), false);
		assert.equal(node.limits.teams.get('main')?.cached, undefined);
	});
}
