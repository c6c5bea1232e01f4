import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {findLogLines} from './find-log-lines.js';
import {formatLogLine} from './format-log-line.js';

const line = (name: string, time: string, event: string, fields: Record<string, unknown> = {}) => JSON.stringify({
	name, hostname: 'h', pid: 1, level: 30, ...fields, event, number: 1, msg: 'Text', time, v: 0,
});

const firstLog = [
	line('entry-1', '2026-01-01T00:00:00.000Z', 'owner-elected', {term: 1}),
	line('entry-1', '2026-01-01T00:00:01.000Z', 'job-accepted', {request: 'r1', job: 'a1'}),
	line('entry-1', '2026-01-01T00:00:01.100Z', 'job-accepted', {request: 'r2', job: 'a2'}),
	'a line of another program',
].join('\n');
const secondLog = [
	line('entry-2', '2026-01-01T00:00:04.000Z', 'job-ended', {job: 'a1', state: 'completed'}),
	line('entry-2', '2026-01-01T00:00:03.000Z', 'task-ended', {task: 'a1.0.0.0', outcome: 'failed'}),
	line('entry-2', '2026-01-01T00:00:02.000Z', 'owner-elected', {term: 2}),
	line('entry-2', '2026-01-01T00:00:09.000Z', 'store-lost'),
].join('\n');

describe('log lines about a request or job', () => {
	it('merges the logs of several processes in order of time, with the changes of ownership in between', () => {
		const {lines, unreadable} = findLogLines([firstLog, secondLog], 'a1');
		assert.deepEqual(lines.map(({event}) => event), ['job-accepted', 'owner-elected', 'task-ended', 'job-ended']);
		assert.equal(unreadable, 1);
	});

	it('finds a request by its own identifier', () => {
		assert.deepEqual(findLogLines([firstLog, secondLog], 'r2').lines.map(({time}) => time), ['2026-01-01T00:00:01.100Z']);
	});

	it('returns no lines for an unknown identifier, not even changes of ownership', () => {
		assert.deepEqual(findLogLines([firstLog, secondLog], 'unknown').lines, []);
	});

	it('formats the time, process, event and fields of a line', () => {
		const [acceptedLine] = findLogLines([firstLog], 'a1').lines;
		assert.ok(acceptedLine);
		assert.equal(formatLogLine(acceptedLine), '2026-01-01T00:00:01.000Z  entry-1  job-accepted  request="r1"  job="a1"');
	});
});
