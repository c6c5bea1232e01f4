import assert from 'node:assert/strict';
import {it} from 'node:test';
import {readTaskBehaviour} from './read-task-behaviour.js';

it('guards against a task that fails wherever it is started', () => {
	assert.deepEqual(['w1', 'w2', 'w3'].map(worker => readTaskBehaviour('0000000100c80100.0.0.0', worker).fails), [true, false, false]);
	assert.equal(readTaskBehaviour('0000000100c80100.0.0.1', 'w1').fails, false);
	assert.equal(readTaskBehaviour('0000000100c80010.0.0.0', 'w1').runsUntilStopped, true);
});

it('guards against stand-ins that disagree on the run time of a task', () => {
	const durations = ['0000000100c80000.0.0.0', '0000000100c81000.0.0.0', '0000000100c81000.0.0.1'].map(task => readTaskBehaviour(task, 'w1').durationMs);
	assert.deepEqual(durations, [200, 1200, 200]);
	assert.equal(readTaskBehaviour('0000000100c81000.0.0.0', 'w2').durationMs, 200);
});
