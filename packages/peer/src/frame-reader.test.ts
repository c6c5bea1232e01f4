import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import fc from 'fast-check';
import {maximumFrameBytes} from './constants.js';
import {encodeFrame} from './encode-frame.js';
import {FrameReader} from './frame-reader.js';

// Guards against frames that are lost or merged when TCP splits them anywhere.
test('reads the same frames however the stream is split', () => {
	fc.assert(fc.property(fc.array(fc.dictionary(fc.string(), fc.integer()), {maxLength: 5}), fc.array(fc.integer({min: 1, max: 40}), {minLength: 1}), (values, sizes) => {
		const stream = Buffer.concat(values.map(value => encodeFrame(value)));
		const reader = new FrameReader();
		const read: unknown[] = [];
		let offset = 0;
		for (let turn = 0; offset < stream.length; turn++) {
			const end = offset + (sizes[turn % sizes.length] ?? 1);
			read.push(...reader.push(stream.subarray(offset, end)).values);
			offset = end;
		}

		assert.equal(JSON.stringify(read), JSON.stringify(values));
		assert.equal(reader.pendingBytes, 0);
	}), {seed: 11, numRuns: 200});
});

// Guards against a hostile peer that stops the process or makes it hold unbounded memory.
test('never throws on arbitrary bytes', () => {
	fc.assert(fc.property(fc.array(fc.uint8Array({maxLength: 200}), {maxLength: 10}), chunks => {
		const reader = new FrameReader();
		for (const chunk of chunks) {
			if (reader.push(chunk).fault !== undefined) {
				return;
			}
		}

		assert.ok(reader.pendingBytes <= maximumFrameBytes + 4);
	}), {seed: 12, numRuns: 500});
});

test('refuses a frame whose length exceeds the limit before its bytes arrive', () => {
	const length = Buffer.alloc(4);
	length.writeUInt32BE(maximumFrameBytes + 1);
	assert.equal(new FrameReader().push(length).fault, 'frame-too-large');
});
