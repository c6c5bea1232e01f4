import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Cluster} from './cluster.test.js';

// Guards against a released slot that stays unused until the next tick when the queued task is in another pool.
test('gives a released slot to a queued task of another pool', () => {
	const cluster = new Cluster(1, ['entry-1']);
	cluster.request('entry-1', 1, 'mail');
	cluster.request('entry-1', 1, 'reports');
	cluster.advance(1000);
	const [first] = cluster.running.keys();
	cluster.finishTasks('entry-1');
	assert.equal(cluster.running.size, 1);
	assert.ok(!cluster.running.has(first ?? ''));
});
