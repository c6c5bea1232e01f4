import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {configurationSchema} from '../state/configuration-schema.js';
import {createActiveJob} from '../state/create-active-job.js';
import {createScheduler} from '../state/create-scheduler.js';
import {jobSchema} from '../state/job-schema.js';
import {type JobOutlook} from './job-outlook.js';
import {measureOutlook} from './measure-outlook.js';
import {rateJob} from './rate-job.js';

const scheduler = createScheduler({
	term: 1, now: 0, configuration: configurationSchema.parse({
		version: 1, queues: [], pools: [], organisations: [], maximumBodyBytes: 1,
	}),
});
const job = createActiveJob(jobSchema.parse({
	id: 'a', queue: 'plans', service: 'planner', organisation: 'north', acceptedAtMs: 0, steps: [{count: 8, cpuMillis: 1000, estimatedMs: 1000}],
}), {acceptedAt: 0});

function createOutlook(changes: Partial<JobOutlook> = {}): JobOutlook {
	return {
		...measureOutlook(scheduler, job, 0), objectiveMs: 3000, remainingMs: 1000, value: 1, waitingWork: 8_000_000, ...changes,
	};
}

describe('rating of a job', () => {
	it('guards against started jobs left behind: less work to place for the same value goes first', () => {
		assert.ok(rateJob(createOutlook({waitingWork: 1_000_000}), 0) > rateJob(createOutlook(), 0));
	});

	it('guards against capacity spent on jobs that will probably be late', () => {
		assert.ok(rateJob(createOutlook(), 0) > rateJob(createOutlook(), 2300));
		assert.ok(rateJob(createOutlook(), 2300) > rateJob(createOutlook(), 2800));
	});

	it('guards against newer jobs placed before older ones while both fit', () => {
		assert.equal(rateJob(createOutlook(), 0), rateJob(createOutlook(), 1900));
	});

	it('guards against starvation of large jobs: value grows with work, so a job four times as large is not rated a quarter', () => {
		const large = createOutlook({waitingWork: 32_000_000, value: 0.3 + (0.7 * 4)});
		assert.ok(rateJob(large, 0) > 0.7 * rateJob(createOutlook(), 0));
	});

	it('is 0 once three times the objective has passed, and above 0 before', () => {
		assert.equal(rateJob(createOutlook(), 9000), 0);
		assert.ok(rateJob(createOutlook(), 8500) > 0);
	});
});
