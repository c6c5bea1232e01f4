import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {configurationSchema} from '@rosemaryquay/core/jobs/state/configuration-schema';
import {jobSchema} from '@rosemaryquay/core/jobs/state/job-schema';
import {describeWait} from './describe-wait.js';

const configuration = configurationSchema.parse({
	version: 1,
	queues: [{
		name: 'plans', host: 'jobs.example', pathPrefix: '/plans/', service: 'planner',
	}],
	pools: [],
	organisations: [],
	maximumBodyBytes: 1,
});
const job = jobSchema.parse({
	id: 'a', queue: 'plans', service: 'planner', organisation: 'north', acceptedAtMs: 0, steps: [{count: 3}, {count: 1, after: [0]}],
});
const record = {
	job, progress: undefined, cancelled: false,
};
const options = {configuration, utcMs: 10_000};

describe('explanation of what a job waits for', () => {
	it('names the steps with unfinished tasks and those that wait for them', () => {
		// Key: occurrence.step; value: positions of the finished tasks.
		const [first, second] = describeWait({...record, progress: {done: Object.fromEntries([['0.0', [1]]]), failures: {}}}, options);
		assert.match(first ?? '', /step 0: 2 of 3 tasks are not done/);
		assert.match(first ?? '', /share of north/);
		assert.match(second ?? '', /step 1: waits for step 0/);
	});

	it('names the time until the first occurrence of a scheduled job', () => {
		const scheduled = {...record, job: {...job, repeatCount: 2, startAtMs: 12_500}};
		assert.deepEqual(describeWait(scheduled, options), ['Its first occurrence is due in 3 s.']);
	});

	it('names a queue that is no longer configured, a cancellation and the state of an ended job', () => {
		assert.match(describeWait({...record, job: {...job, queue: 'gone'}}, options)[0] ?? '', /Queue gone is not in the configuration/);
		assert.match(describeWait({...record, cancelled: true}, options)[0] ?? '', /cancelled/);
		assert.deepEqual(describeWait({
			id: 'a', queue: 'plans', organisation: 'north', state: 'failed', endedAtMs: 0,
		}, options), ['It has ended as failed.']);
	});
});
