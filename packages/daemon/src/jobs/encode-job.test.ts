import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createJob} from '@rosemaryquay/testing/jobs/create-fleet';
import {encodeJob} from './encode-job.js';
import {parseJob} from './parse-job.js';

describe('stored form of a job', () => {
	for (const {name, job} of [
		{name: 'default values', job: createJob('a', {steps: [{count: 1}], priority: 0, maximumAttempts: 1})},
		{
			name: 'other values', job: createJob('b', {
				priority: 2, repeatCount: 3, startAtMs: 5, intervalMs: 7, steps: [{count: 1, gang: true, affinity: 'r1'}, {
					count: 2, after: [0], mayMiss: 1, longRunning: true,
				}],
			}),
		},
	]) {
		it(`guards against losing a field of a job with ${name}`, () => {
			assert.deepEqual(parseJob(encodeJob(job)), job);
		});
	}

	it('leaves out the fields that have their default value', () => {
		const stored = JSON.parse(encodeJob(createJob('a', {steps: [{count: 2}]}))) as {steps: unknown};
		assert.deepEqual(stored.steps, [{count: 2}]);
	});
});
