import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {findLogLines} from './find-log-lines.js';
import {formatLogLine} from './format-log-line.js';

const line = (name: string, time: string, event: string, fields: Record<string, unknown> = {}) => JSON.stringify({
	name, hostname: 'h', pid: 1, level: 30, ...fields, event, number: 1, msg: 'Text', time, v: 0,
});

const first = [
	line('entry-1', '2026-01-01T00:00:00.000Z', 'owner-elected', {term: 1}),
	line('entry-1', '2026-01-01T00:00:01.000Z', 'job-accepted', {request: 'r1', job: 'a1'}),
	line('entry-1', '2026-01-01T00:00:01.100Z', 'job-accepted', {request: 'r2', job: 'a2'}),
	'not a line of ours',
].join('\n');
const second = [
	line('entry-2', '2026-01-01T00:00:04.000Z', 'job-ended', {job: 'a1', state: 'completed'}),
	line('entry-2', '2026-01-01T00:00:03.000Z', 'task-ended', {task: 'a1.0.0.0', outcome: 'failed'}),
	line('entry-2', '2026-01-01T00:00:02.000Z', 'owner-elected', {term: 2}),
	line('entry-2', '2026-01-01T00:00:09.000Z', 'store-lost'),
].join('\n');

describe('lines of logs about a job', () => {
	it('puts the lines of several processes into one order, with the changes of the ownership between them', () => {
		const {lines, unreadable} = findLogLines([first, second], 'a1');
		assert.deepEqual(lines.map(({event}) => event), ['job-accepted', 'owner-elected', 'task-ended', 'job-ended']);
		assert.equal(unreadable, 1);
	});

	it('finds a request by its own identifier', () => {
		assert.deepEqual(findLogLines([first, second], 'r2').lines.map(({time}) => time), ['2026-01-01T00:00:01.100Z']);
	});

	it('guards against changes of the ownership that pass for an answer', () => {
		assert.deepEqual(findLogLines([first, second], 'unknown').lines, []);
	});

	it('shows the fields that decided', () => {
		const [accepted] = findLogLines([first], 'a1').lines;
		assert.ok(accepted);
		assert.equal(formatLogLine(accepted), '2026-01-01T00:00:01.000Z  entry-1  job-accepted  request="r1"  job="a1"');
	});
});
