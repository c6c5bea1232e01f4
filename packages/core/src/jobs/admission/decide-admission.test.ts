import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type Job, jobSchema} from '../state/job-schema.js';
import {type AdmissionRecord} from './admission-record.js';
import {decideAdmission} from './decide-admission.js';

const timeOfDay = 100_000;

/** A job of 8 tasks of 1 s on 1.5 cores: its objective is 2.2 s, and it is of no use after 6.6 s. */
function createJob(changes: Partial<Job> = {}): Job {
	return {
		...jobSchema.parse({
			id: 'a', queue: 'plans', service: 'planner', organisation: 'north', acceptedAtMs: timeOfDay, stretch: 1.6, targetLatencyMs: 600, steps: [{count: 8, cpuMillis: 1500, estimatedMs: 1000}],
		}), ...changes,
	};
}

function createRecord(waitMs: number, changes: Partial<AdmissionRecord['queues'][string]> & {publishedAtMs?: number} = {}): AdmissionRecord {
	const {publishedAtMs = timeOfDay, ...queue} = changes;
	return {
		publishedAtMs,
		term: 1,
		queues: {
			plans: {
				freeCpuMillis: 0, capacityCpuMillis: 100_000, waits: [{work: 0, waitMs, lateWaitMs: waitMs}], organisations: {}, ...queue,
			},
		},
	};
}

const longRunningStep = jobSchema.shape.steps.element.parse({count: 1, longRunning: true});
const hopeless = 60_000;

describe('decideAdmission', () => {
	const admitted: ReadonlyArray<{fault: string; record: AdmissionRecord | undefined; job?: Partial<Job>}> = [
		{fault: 'there is no record', record: undefined},
		{fault: 'the record does not name the queue', record: createRecord(hopeless), job: {queue: 'watches'}},
		{fault: 'the job can just be completed within three times its objective', record: createRecord(5600)},
		{fault: 'the record is stale', record: createRecord(hopeless, {publishedAtMs: timeOfDay - 2501})},
		{fault: 'the record is from a clock far ahead', record: createRecord(hopeless, {publishedAtMs: timeOfDay + 2501})},
		{fault: 'all jobs ahead may have been served since the publication', record: createRecord(7000, {publishedAtMs: timeOfDay - 2000})},
		{fault: 'a worker has room for a task', record: createRecord(hopeless, {freeCpuMillis: 1500})},
		{fault: 'the job runs until it is cancelled', record: createRecord(hopeless), job: {steps: [longRunningStep]}},
		{fault: 'the job is scheduled', record: createRecord(hopeless), job: {repeatCount: 3}},
		{fault: 'the queue has no objective', record: createRecord(hopeless), job: {stretch: 0, targetLatencyMs: 0}},
		{fault: 'only jobs with more work wait that long', record: createRecord(0, {waits: [{work: 12_000_001, waitMs: hopeless, lateWaitMs: hopeless}]})},
		{fault: 'the job starts in time to meet its objective, before those that are late', record: createRecord(0, {waits: [{work: 0, waitMs: 1200, lateWaitMs: hopeless}]})},
		{fault: 'only another organisation is beyond its share', record: createRecord(0, {organisations: {south: [{work: 0, waitMs: hopeless, lateWaitMs: hopeless}]}})},
	];
	for (const {fault, record, job} of admitted) {
		it(`guards against a refusal although ${fault}`, () => {
			assert.deepEqual(decideAdmission(record, createJob(job), {timeOfDay}), {type: 'admit'});
		});
	}

	it('guards against holding a job that is certainly of no use when it is done', () => {
		assert.deepEqual(decideAdmission(createRecord(8000, {publishedAtMs: timeOfDay - 1000}), createJob(), {timeOfDay}), {
			type: 'refuse', reason: 'no-room', waitMs: 7000, recordAgeMs: 1000, roomInMs: 5800, serviceMs: 120,
		});
	});

	it('refuses an organisation beyond its share while others have room', () => {
		const record = createRecord(0, {organisations: {north: [{work: 0, waitMs: 9000, lateWaitMs: 9000}]}});
		const decision = decideAdmission(record, createJob(), {timeOfDay});
		assert.equal(decision.type === 'refuse' && decision.reason, 'over-share');
		assert.equal(decideAdmission(record, createJob({organisation: 'south'}), {timeOfDay}).type, 'admit');
	});
});
