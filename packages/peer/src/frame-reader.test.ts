import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import fc from 'fast-check';
import {maximumFrameBytes} from './constants.js';
import {encodeFrame} from './encode-frame.js';
import {FrameReader} from './frame-reader.js';

// Guards against frames that are lost or merged when TCP splits the stream at arbitrary positions.
test('returns the same frames wherever the stream is split', () => {
	fc.assert(fc.property(fc.array(fc.dictionary(fc.string(), fc.integer()), {maxLength: 5}), fc.array(fc.integer({min: 1, max: 40}), {minLength: 1}), (values, chunkSizes) => {
		const stream = Buffer.concat(values.map(value => encodeFrame(value)));
		const reader = new FrameReader();
		const frames: unknown[] = [];
		let offset = 0;
		for (let chunk = 0; offset < stream.length; chunk++) {
			const end = offset + (chunkSizes[chunk % chunkSizes.length] ?? 1);
			frames.push(...reader.push(stream.subarray(offset, end)).frames);
			offset = end;
		}

		assert.equal(JSON.stringify(frames), JSON.stringify(values));
		assert.equal(reader.bufferedBytes, 0);
	}), {seed: 11, numRuns: 200});
});

// Guards against a hostile peer that crashes the process or exhausts its memory.
test('never throws and buffers at most one frame on arbitrary input', () => {
	fc.assert(fc.property(fc.array(fc.uint8Array({maxLength: 200}), {maxLength: 10}), chunks => {
		const reader = new FrameReader();
		for (const chunk of chunks) {
			if (reader.push(chunk).error !== undefined) {
				return;
			}
		}

		assert.ok(reader.bufferedBytes <= maximumFrameBytes + 4);
	}), {seed: 12, numRuns: 500});
});

test('rejects a frame by its length prefix before the payload arrives', () => {
	const prefix = Buffer.alloc(4);
	prefix.writeUInt32BE(maximumFrameBytes + 1);
	assert.equal(new FrameReader().push(prefix).error, 'frame-too-large');
});
