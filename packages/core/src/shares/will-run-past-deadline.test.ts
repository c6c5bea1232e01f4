import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createNode} from '../node/create-node.js';
import {type Task} from '../node/node.js';
import {willRunPastDeadline} from './will-run-past-deadline.js';

// Guards against slots wasted on attempts that are cancelled at their deadline, and against refusals based on too few observations.
const cases: ReadonlyArray<{name: string; observations: number; leftMs: number; resumed?: boolean; expected: boolean}> = [
	{
		name: 'late with less than the mean run time left', observations: 20, leftMs: 999, expected: true,
	},
	{
		name: 'in time with the mean run time left', observations: 20, leftMs: 1000, expected: false,
	},
	{
		name: 'not late after too few observations', observations: 19, leftMs: 1, expected: false,
	},
	{
		name: 'not late once a checkpointed task has run in part', observations: 20, leftMs: 1, resumed: true, expected: false,
	},
];

for (const {name, observations, leftMs, resumed = false, expected} of cases) {
	test(`tells whether a task would run past its deadline: ${name}`, () => {
		const node = createNode({id: 'entry-1', zone: 'zone-a'});
		node.shares.runTimes.set('mail', {meanMs: 1000, observations});
		const task: Pick<Task, 'queue' | 'deadlineAt' | 'resume'> = {queue: 'mail', deadlineAt: leftMs, ...(resumed && {resume: {attemptId: 'a-1', workerId: 'w-1', notBefore: 0}})};
		assert.equal(willRunPastDeadline(node, task, 0), expected);
	});
}
