import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {addJob} from '../state/add-job.js';
import {configurationSchema} from '../state/configuration-schema.js';
import {createScheduler} from '../state/create-scheduler.js';
import {jobSchema} from '../state/job-schema.js';
import {type ActiveJob, type Scheduler} from '../state/scheduler.js';
import {measureOutlook} from './measure-outlook.js';

const acceptedAtMs = 1000;

function createState(schedule: {repeatCount?: number; startAtMs?: number; intervalMs?: number} = {}): {scheduler: Scheduler; job: ActiveJob} {
	const scheduler = createScheduler({
		term: 1, now: acceptedAtMs, configuration: configurationSchema.parse({
			version: 1, queues: [], pools: [], organisations: [], maximumBodyBytes: 1,
		}),
	});
	addJob({
		scheduler, now: acceptedAtMs, timeOfDay: acceptedAtMs, effects: [],
	}, jobSchema.parse({
		id: 'a', queue: 'plans', service: 'planner', organisation: 'north', acceptedAtMs, steps: [{count: 2, cpuMillis: 1000, estimatedMs: 400}, {
			count: 1, cpuMillis: 1000, estimatedMs: 400, after: [0],
		}], ...schedule,
	}));
	const job = scheduler.jobs.get('a');
	assert.ok(job !== undefined);
	return {scheduler, job};
}

describe('outlook of a job', () => {
	it('counts the tasks that wait, and those of later steps as work only', () => {
		const {scheduler, job} = createState();
		const {waiting, waitingWork, remainingMs} = measureOutlook(scheduler, job, acceptedAtMs);
		assert.deepEqual([waiting.cpuMillis, waitingWork, remainingMs], [2000, 1_200_000, 800]);
	});

	it('guards against an outlook that outlives a change of the job or of the configuration', () => {
		const {scheduler, job} = createState();
		const first = measureOutlook(scheduler, job, acceptedAtMs);
		assert.equal(measureOutlook(scheduler, job, acceptedAtMs + 40), first);
		job.changes++;
		const second = measureOutlook(scheduler, job, acceptedAtMs + 40);
		assert.notEqual(second, first);
		scheduler.configuration = {...scheduler.configuration, version: 2};
		assert.notEqual(measureOutlook(scheduler, job, acceptedAtMs + 40), second);
	});

	it('guards against scheduled jobs that count as too late because they were accepted long before an occurrence', () => {
		const {scheduler, job} = createState({repeatCount: 5, startAtMs: 61_000, intervalMs: 10_000});
		job.completedOccurrences = 2;
		assert.equal(measureOutlook(scheduler, job, 81_000).dueAt, 81_000);
	});
});
