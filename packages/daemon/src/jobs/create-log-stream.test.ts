import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createLogStream} from './create-log-stream.js';

describe('createLogStream', () => {
	it('drops lines instead of growing without bound behind a slow reader, and reports how many were dropped', () => {
		const lines: string[] = [];
		const target = {
			writableLength: 0,
			write(chunk: unknown) {
				lines.push(String(chunk));
				return true;
			},
		};
		const stream = createLogStream(target);
		stream.write('one\n');
		target.writableLength = 1024 * 1024;
		stream.write('two\n');
		stream.write('three\n');
		target.writableLength = 0;
		stream.write('four\n');
		assert.deepEqual(lines.slice(0, 2), ['one\n', 'four\n']);
		assert.match(lines[2] ?? '', /"omitted":2/);
	});
});
