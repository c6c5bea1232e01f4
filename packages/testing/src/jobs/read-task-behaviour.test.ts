import assert from 'node:assert/strict';
import {it} from 'node:test';
import {readTaskBehaviour} from './read-task-behaviour.js';

it('guards against stand-ins that disagree on the run time of a task', () => {
	const durations = ['0000000100c80000.0.0.0', '0000000100c81000.0.0.0', '0000000100c81000.0.0.1'].map(task => readTaskBehaviour(task, 'w1').durationMs);
	assert.deepEqual(durations, [200, 1200, 200]);
	assert.equal(readTaskBehaviour('0000000100c81000.0.0.0', 'w2').durationMs, 200);
});
