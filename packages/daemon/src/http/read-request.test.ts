import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {Readable} from 'node:stream';
import {type IncomingMessage} from 'node:http';
import {test} from 'node:test';
import fc from 'fast-check';
import {readRequest} from './read-request.js';

function createRequest(headers: Record<string, string>, body: string): IncomingMessage {
	return Object.assign(Readable.from([Buffer.from(body)]), {headers}) as unknown as IncomingMessage;
}

// Guards against headers that crash the process, and against a key that is read from a malformed header.
test('turns arbitrary headers into a valid request or a refusal', async () => {
	await fc.assert(fc.asyncProperty(fc.record({
		authorization: fc.string(),
		'idempotency-key': fc.string({maxLength: 300}),
		'rosemaryquay-deadline-ms': fc.oneof(fc.string(), fc.integer().map(String)),
		'content-length': fc.oneof(fc.string(), fc.nat().map(String)),
	}, {requiredKeys: []}), fc.string(), async (headers, body) => {
		const result = await readRequest(createRequest(headers, body), {id: 'r-1', queue: 'mail', bodyLimitBytes: 1000});
		if (!result.ok) {
			assert.ok(['header-invalid', 'body-too-large', 'body-incomplete'].includes(result.reason), result.reason);
			return;
		}

		assert.equal(result.arrival.keyHash === undefined, headers.authorization === undefined);
		assert.ok(result.arrival.deadlineMs === undefined || result.arrival.deadlineMs > 0);
		assert.ok((result.arrival.idempotencyKey?.length ?? 1) <= 255);
	}), {seed: 23, numRuns: 400});
});
