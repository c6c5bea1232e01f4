import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createTask} from '../state/create-task.js';
import {createWorker} from '../state/create-worker.js';
import {type TaskGroup} from '../state/scheduler.js';
import {estimateFreshRunTime} from './estimate-fresh-run-time.js';
import {listPeerTimes} from './list-peer-times.js';

/** Creates a group whose task has ended after some time, or has some progress 1 s after its start. */
function createGroup(changes: {durationMs?: number; percent?: number}): TaskGroup {
	const {durationMs, percent = 0} = changes;
	const group = {tasks: [], durationMs} as unknown as TaskGroup;
	group.tasks.push({
		...createTask(group, {id: 'a.0.0.0', index: 0}), state: 'running', percent, lastOrderAt: 1000, worker: {...createWorker({id: 'w1', address: '10.0.0.1:80', now: 0}), reportAnsweredAt: 2000},
	});
	return group;
}

describe('estimateFreshRunTime', () => {
	it('guards against taking all tasks of a step for stragglers when its estimate is too short', () => {
		const group = createGroup({percent: 40});
		const groups = [group, createGroup({percent: 40}), createGroup({durationMs: 2500}), createGroup({percent: 50})];
		assert.equal(estimateFreshRunTime(group, {peerTimes: listPeerTimes(groups), estimatedMs: 1000}), 2500);
	});

	it('guards against judging a fresh run by the straggler itself, or by a run that has just begun', () => {
		const group = createGroup({percent: 5});
		assert.equal(estimateFreshRunTime(group, {peerTimes: listPeerTimes([group, createGroup({percent: 10})]), estimatedMs: 1000}), 1000);
	});

	it('uses the estimate while the other tasks are faster', () => {
		const group = createGroup({percent: 5});
		assert.equal(estimateFreshRunTime(group, {peerTimes: listPeerTimes([group, createGroup({durationMs: 300})]), estimatedMs: 1000}), 1000);
	});
});
